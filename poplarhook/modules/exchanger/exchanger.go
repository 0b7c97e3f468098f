package exchanger

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent says that no byte of the request left this host.
var ErrNotSent = errors.New("request was not sent")

// ErrHeldBack says that this host sent nothing, for a reason of its own and not the endpoint's.
var ErrHeldBack = errors.New("request was held back")

// ErrBroken says that the exchange broke after bytes of the request had left.
var ErrBroken = errors.New("exchange broke off")

// ErrExcess says that the endpoint sent more bytes than the length it declared.
var ErrExcess = errors.New("answer is longer than its declared length")

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 4
	defaultMaxOpen     = 16
)

// Exchanger carries requests over a bounded set of connections to one endpoint.
//
// It stands in for net/http's Transport, which sends a request anew on its own
// account when a reused connection breaks (Request.isReplayable) and which hides
// bytes beyond an answer's declared length.
type Exchanger struct {
	address     string
	clock       func() time.Time
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout time.Duration
	maxIdle     int
	maxOpen     int
	lost        func(address string)
	// unframed says that an answer may end with its connection.
	unframed bool
	// surplus says that bytes after a whole answer spoil only their connection.
	surplus bool

	mu     sync.Mutex
	idle   []*link
	open   int
	counts Counts
}

// Option changes how an Exchanger is built.
type Option func(*Exchanger)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(e *Exchanger) { e.clock = clock }
}

// WithMaxOpen sets how many connections may be open at once.
func WithMaxOpen(n int) Option {
	return func(e *Exchanger) { e.maxOpen = max(n, 1) }
}

// WithMaxIdle sets how many idle connections are kept.
func WithMaxIdle(n int) Option {
	return func(e *Exchanger) { e.maxIdle = n }
}

// WithLostHook sets what is called when an idle connection is closed by the endpoint.
func WithLostHook(lost func(address string)) Option {
	return func(e *Exchanger) { e.lost = lost }
}

// WithDialTimeout bounds the time that a new connection may take.
func WithDialTimeout(d time.Duration) Option {
	return func(e *Exchanger) { e.dialTimeout = d }
}

// WithUnframed takes an answer without a declared length as whole when its connection ends without a reset.
func WithUnframed() Option {
	return func(e *Exchanger) { e.unframed = true }
}

// WithSurplus takes an answer of its declared length as whole though more bytes follow; its connection is not used again.
func WithSurplus() Option {
	return func(e *Exchanger) { e.surplus = true }
}

// Counts holds what an Exchanger has done since its start.
type Counts struct {
	Dialed   uint64 `json:"dialed"`
	Reused   uint64 `json:"reused"`
	Broken   uint64 `json:"broken"`
	Left     uint64 `json:"left"`
	OpenNow  int    `json:"open_now"`
	IdleNow  int    `json:"idle_now"`
	Exceeded uint64 `json:"exceeded"`
}

// New returns an Exchanger for the endpoint at the address (host:port).
func New(address string, options ...Option) *Exchanger {
	dialer := &net.Dialer{}
	e := &Exchanger{
		address:     address,
		clock:       time.Now,
		dial:        dialer.DialContext,
		dialTimeout: defaultDialTimeout,
		maxIdle:     defaultMaxIdle,
		maxOpen:     defaultMaxOpen,
		lost:        func(string) {},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Exchange sends the request once and returns the endpoint's answer.
//
// A kept connection is used only if the endpoint answered on it within proofAge.
// Nothing is sent from sendBy on, unless that is zero. With reuseOnly, nothing
// is sent unless an open connection shows that the endpoint has not restarted.
// The error is ErrHeldBack,
// ErrNotSent or ErrBroken. The caller closes the answer's body.
func (e *Exchanger) Exchange(ctx context.Context, request *http.Request, proofAge time.Duration, sendBy time.Time, reuseOnly bool) (*http.Response, error) {
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return nil, errors.Wrapf(ErrHeldBack, "encode request for %s: %v", e.address, err)
	}
	l, err := e.take(ctx, proofAge, reuseOnly)
	if err != nil {
		return nil, err
	}
	if !sendBy.IsZero() && !e.clock().Before(sendBy) {
		e.putBack(l) //nolint:contextcheck // the watch over an idle connection outlives the request
		return nil, errors.Wrapf(ErrHeldBack, "the right to send to %s ended at %s", e.address, sendBy)
	}
	stop := l.interruptOn(ctx)
	if err := l.send(message.Bytes()); err != nil {
		stop()
		e.discard(l)
		return nil, err
	}
	response, err := l.receive(request)
	if err != nil {
		stop()
		e.discard(l)
		return nil, errors.Wrapf(ErrBroken, "read answer of %s: %v", e.address, err)
	}
	l.learnIdle(response.Header)
	if !e.unframed && isUnframed(response) {
		stop()
		e.discard(l)
		return nil, errors.Wrapf(ErrBroken, "answer of %s has no declared end", e.address)
	}
	response.Body = &body{exchanger: e, link: l, stop: stop, source: response.Body, keep: !response.Close && !isUnframed(response)}
	return response, nil
}

// LeaveIdle closes every idle connection that was last proved before the given time.
func (e *Exchanger) LeaveIdle(provedBefore time.Time) {
	e.mu.Lock()
	kept := e.idle[:0]
	var left []*link
	for _, l := range e.idle {
		if l.proved.Before(provedBefore) {
			left = append(left, l)
			continue
		}
		kept = append(kept, l)
	}
	e.idle = kept
	e.open -= len(left)
	e.counts.Left += uint64(len(left))
	e.mu.Unlock()
	for _, l := range left {
		_ = l.unwatch()
		l.conn.Close()
	}
}

// Close closes every idle connection; those in use close when their answers end.
func (e *Exchanger) Close() {
	e.mu.Lock()
	e.maxIdle = 0
	e.mu.Unlock()
	e.LeaveIdle(e.clock().Add(time.Hour))
}

// Counts returns what the Exchanger has done since its start.
func (e *Exchanger) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.OpenNow = e.open
	counts.IdleNow = len(e.idle)
	return counts
}

// take returns a proved idle connection or a fresh one.
func (e *Exchanger) take(ctx context.Context, proofAge time.Duration, reuseOnly bool) (*link, error) {
	if l := e.takeIdle(proofAge); l != nil {
		return l, nil
	}
	if reuseOnly && !e.hasQuiet() {
		return nil, errors.Wrapf(ErrHeldBack, "no open connection to %s is left", e.address)
	}
	if err := e.reserve(); err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, e.dialTimeout)
	defer cancel()
	conn, err := e.dial(dialCtx, "tcp", e.address)
	if err != nil {
		e.unreserve()
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", e.address, err)
	}
	l, err := newLink(conn, e.clock())
	if err != nil {
		conn.Close()
		e.unreserve()
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", e.address, err)
	}
	if reuseOnly && !e.hasQuiet() {
		e.discard(l)
		return nil, errors.Wrapf(ErrHeldBack, "no older connection to %s is open", e.address)
	}
	return l, nil
}

// hasQuiet reports whether an idle connection is open at this moment.
func (e *Exchanger) hasQuiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.idle, (*link).isQuiet)
}

// takeIdle returns the idle connection proved last, closing those found dead.
func (e *Exchanger) takeIdle(proofAge time.Duration) *link {
	for {
		l := e.popIdle(proofAge)
		if l == nil {
			return nil
		}
		if l.unwatch() == nil {
			return l
		}
		e.discard(l)
		e.lost(e.address)
	}
}

func (e *Exchanger) popIdle(proofAge time.Duration) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) == 0 {
		return nil
	}
	l := e.idle[len(e.idle)-1]
	if !l.mayCarry(e.clock(), proofAge) {
		return nil
	}
	e.idle = e.idle[:len(e.idle)-1]
	e.counts.Reused++
	return l
}

// reserve makes room for a fresh connection, closing the oldest idle one if it must.
func (e *Exchanger) reserve() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open >= e.maxOpen {
		if len(e.idle) == 0 {
			return errors.Wrapf(ErrHeldBack, "%d connections to %s are open, the most allowed", e.open, e.address)
		}
		oldest := e.idle[0]
		e.idle = e.idle[1:]
		oldest.conn.Close()
		e.open--
	}
	e.open++
	e.counts.Dialed++
	return nil
}

func (e *Exchanger) unreserve() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

// discard closes a connection that must not be used again.
func (e *Exchanger) discard(l *link) {
	l.conn.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	e.counts.Broken++
}

// Proved reports whether an idle connection is open that no close has been seen on.
func (e *Exchanger) Proved() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.idle) > 0
}

// forget drops an idle connection that the endpoint closed.
func (e *Exchanger) forget(l *link) {
	if e.removeIdle(l) {
		l.conn.Close()
		e.lost(e.address)
	}
}

func (e *Exchanger) removeIdle(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.idle, l)
	if i < 0 {
		return false
	}
	e.idle = slices.Delete(e.idle, i, i+1)
	e.open--
	e.counts.Left++
	return true
}

// putBack makes a connection idle again on which nothing was sent.
func (e *Exchanger) putBack(l *link) {
	if err := l.endWatch(); err != nil {
		e.discard(l)
		return
	}
	e.keep(l)
}

// keep makes a connection idle, or closes it when enough are kept.
func (e *Exchanger) keep(l *link) {
	l.proved = e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) >= e.maxIdle {
		l.conn.Close()
		e.open--
		return
	}
	e.idle = append(e.idle, l)
	l.watch(e.forget)
}

// isUnframed reports whether only the connection's end would end the body, so that a cut looks whole.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
