package exchanger

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent means that no byte of the request was sent because connecting to the endpoint or writing to it failed.
var ErrNotSent = errors.New("request was not sent")

// ErrNotAttempted means that this host sent no byte of the request for a reason of its own, not because the endpoint
// failed.
var ErrNotAttempted = errors.New("request was held back")

// ErrBroken means that the exchange failed after bytes of the request were sent.
var ErrBroken = errors.New("exchange broke off")

// ErrTrailingBytes means that the endpoint sent more bytes than the length it declared.
var ErrTrailingBytes = errors.New("answer is longer than its declared length")

// maxErrorBytes bounds the part of an error's text that may come from an endpoint, in bytes.
const maxErrorBytes = 200

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 4
	defaultMaxOpen     = 16
)

// Exchanger sends requests over a bounded pool of connections to one endpoint.
//
// It is used in place of net/http's Transport, which resends some requests by itself
// when a reused connection breaks (Request.isReplayable) and hides bytes beyond a
// response's declared length.
type Exchanger struct {
	address        string
	clock          func() time.Time
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout    time.Duration
	maxIdle        int
	maxOpen        int
	maxHeadBytes   int
	headReserver   reserver
	idleClosedHook func(address string)
	// requestID returns the id of a request, empty for none.
	requestID func(header http.Header) string
	// allowCloseDelimited is true if a response without a declared length may end with its connection.
	allowCloseDelimited bool
	// allowTrailingBytes is true if a response is accepted although more bytes follow it. Its connection is then
	// closed.
	allowTrailingBytes bool

	mu     sync.Mutex
	idle   []*connection
	open   int
	counts Counts
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(e *Exchanger) { e.clock = clock }
}

// WithMaxOpen sets how many connections may be open at the same time, at least 1.
func WithMaxOpen(n int) Option {
	return func(e *Exchanger) { e.maxOpen = max(n, 1) }
}

// WithMaxIdle sets how many idle connections are kept.
func WithMaxIdle(n int) Option {
	return func(e *Exchanger) { e.maxIdle = n }
}

// WithMaxHead sets how many bytes the head of an answer may have, at least 1, with the interim responses before it.
func WithMaxHead(bytes int) Option {
	return func(e *Exchanger) { e.maxHeadBytes = max(bytes, 1) }
}

// WithHeadReserver sets what limits the memory of the large heads that several Exchangers read at the same time.
func WithHeadReserver(r reserver) Option {
	return func(e *Exchanger) { e.headReserver = r }
}

// WithIdleClosedHook sets the function that is called when the endpoint closes an idle connection or sends bytes on it.
func WithIdleClosedHook(hook func(address string)) Option {
	return func(e *Exchanger) { e.idleClosedHook = hook }
}

// WithRequestID sets the function that returns the id of a request. A request is not sent on the connection that has just
// carried one of the same id: a late second copy of the first answer could not be told from the answer to the second.
func WithRequestID(requestID func(header http.Header) string) Option {
	return func(e *Exchanger) { e.requestID = requestID }
}

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(e *Exchanger) { e.dialTimeout = d }
}

// WithCloseDelimited accepts a response without a declared length as complete when its connection is closed without a
// reset.
func WithCloseDelimited() Option {
	return func(e *Exchanger) { e.allowCloseDelimited = true }
}

// WithTrailingBytes accepts a response of its declared length although more bytes follow. Its connection is not used
// again.
func WithTrailingBytes() Option {
	return func(e *Exchanger) { e.allowTrailingBytes = true }
}

// Counts holds an Exchanger's counters since its start. OpenNow and IdleNow are current numbers of connections.
type Counts struct {
	Dialed        uint64 `json:"dialed"`
	Reused        uint64 `json:"reused"`
	Broken        uint64 `json:"broken"`
	IdleClosed    uint64 `json:"left"`
	OpenNow       int    `json:"open_now"`
	IdleNow       int    `json:"idle_now"`
	TrailingBytes uint64 `json:"exceeded"`
}

// New returns an Exchanger for the endpoint at the address (host:port).
func New(address string, options ...Option) *Exchanger {
	dialer := &net.Dialer{}
	e := &Exchanger{
		address:        address,
		clock:          time.Now,
		dial:           dialer.DialContext,
		dialTimeout:    defaultDialTimeout,
		maxIdle:        defaultMaxIdle,
		maxOpen:        defaultMaxOpen,
		maxHeadBytes:   defaultMaxHeadBytes,
		headReserver:   unlimitedReserver{},
		idleClosedHook: func(string) {},
		requestID:      func(http.Header) string { return "" },
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Exchange sends the request at most once and returns the endpoint's response.
//
// An idle connection is used only if it was confirmed within the last maxIdleTime: opened, or used without a failure.
// Nothing is sent at or after sendBy, unless sendBy is zero. With requireOpen, nothing is sent unless
// an idle connection is still open, which shows that the endpoint has not restarted; the request itself may use a
// new connection. The error is ErrNotAttempted, ErrNotSent or ErrBroken. The caller closes the response's body.
func (e *Exchanger) Exchange(ctx context.Context, request *http.Request, maxIdleTime time.Duration, sendBy time.Time, requireOpen bool) (*http.Response, error) {
	encoded, err := encode(request)
	if err != nil {
		return nil, errors.Wrapf(ErrNotAttempted, "encode request for %s: %v", e.address, err)
	}
	id := e.requestID(request.Header)
	c, err := e.acquire(ctx, maxIdleTime, requireOpen, id)
	if err != nil {
		return nil, err
	}
	if !sendBy.IsZero() && !e.clock().Before(sendBy) {
		e.returnUnused(c) //nolint:contextcheck // the watch of an idle connection outlives the request
		return nil, errors.Wrapf(ErrNotAttempted, "the right to send to %s ended at %s", e.address, sendBy)
	}
	c.lastRequestID = id
	stop := c.interruptOn(ctx)
	if err := c.send(encoded); err != nil {
		stop()
		e.discard(c)
		return nil, err
	}
	response, err := c.receive(request, e.maxHeadBytes)
	if err != nil {
		stop()
		e.discard(c)
		return nil, errors.Wrapf(ErrBroken, "read answer of %s: %.*v", e.address, maxErrorBytes, err)
	}
	c.readIdleTimeout(response.Header)
	if !e.allowCloseDelimited && isCloseDelimited(response) {
		stop()
		e.discard(c)
		return nil, errors.Wrapf(ErrBroken, "answer of %s has no declared end", e.address)
	}
	isUnidentified := e.requestID(response.Header) == ""
	response.Body = &body{
		exchanger: e, connection: c, stopInterrupt: stop, source: response.Body, reusable: !response.Close && !isCloseDelimited(response),
		mayBeStray: isUnidentified && c.hadUnidentified,
	}
	c.hadUnidentified = c.hadUnidentified || isUnidentified
	return response, nil
}

// MayBeStray reports whether the response may be a late copy of an earlier one on its connection: it has no request id,
// and neither had one that the connection received before. It is true for responses that no Exchanger returned.
func MayBeStray(response *http.Response) bool {
	b, ok := response.Body.(*body)
	return !ok || b.mayBeStray
}

// CloseIdle closes every idle connection that was last confirmed before the given time.
func (e *Exchanger) CloseIdle(confirmedBefore time.Time) {
	e.mu.Lock()
	kept := e.idle[:0]
	var removed []*connection
	for _, c := range e.idle {
		if c.confirmedAt.Before(confirmedBefore) {
			removed = append(removed, c)
			continue
		}
		kept = append(kept, c)
	}
	e.idle = kept
	e.open -= len(removed)
	e.counts.IdleClosed += uint64(len(removed))
	e.mu.Unlock()
	for _, c := range removed {
		_ = c.stopWatch()
		c.conn.Close()
	}
}

// Close closes every idle connection. Connections in use are closed when their responses end.
func (e *Exchanger) Close() {
	e.mu.Lock()
	e.maxIdle = 0
	e.mu.Unlock()
	e.CloseIdle(e.clock().Add(time.Hour))
}

// Counts returns the current counters.
func (e *Exchanger) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.OpenNow = e.open
	counts.IdleNow = len(e.idle)
	return counts
}

// acquire returns an idle connection that was confirmed recently and did not just carry a request of the id, or a new
// one.
func (e *Exchanger) acquire(ctx context.Context, maxIdleTime time.Duration, requireOpen bool, id string) (*connection, error) {
	if c := e.acquireIdle(maxIdleTime, id); c != nil {
		return c, nil
	}
	if requireOpen && !e.hasOpenIdle() {
		return nil, errors.Wrapf(ErrNotAttempted, "no open connection to %s is left", e.address)
	}
	if err := e.reserveSlot(); err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, e.dialTimeout)
	defer cancel()
	conn, err := e.dial(dialCtx, "tcp", e.address)
	if err != nil {
		e.releaseSlot()
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", e.address, err)
	}
	c, err := newConnection(conn, e.headReserver, e.clock())
	if err != nil {
		conn.Close()
		e.releaseSlot()
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", e.address, err)
	}
	if requireOpen && !e.hasOpenIdle() {
		e.discard(c)
		return nil, errors.Wrapf(ErrNotAttempted, "no older connection to %s is open", e.address)
	}
	return c, nil
}

// hasOpenIdle reports whether an idle connection is still open, by checking the sockets.
func (e *Exchanger) hasOpenIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.idle, (*connection).isOpenWithoutInput)
}

// acquireIdle returns the idle connection that was confirmed last, nil if there is none within maxIdleTime. It leaves
// out one whose last request had the id, and discards those that the endpoint closed or sent bytes on.
func (e *Exchanger) acquireIdle(maxIdleTime time.Duration, id string) *connection {
	for {
		c := e.popIdle(maxIdleTime, id)
		if c == nil {
			return nil
		}
		if c.stopWatch() == nil {
			return c
		}
		e.discard(c)
		e.idleClosedHook(e.address)
	}
}

func (e *Exchanger) popIdle(maxIdleTime time.Duration, id string) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(e.idle) - 1
	if last >= 0 && id != "" && e.idle[last].lastRequestID == id {
		last--
	}
	if last < 0 {
		return nil
	}
	c := e.idle[last]
	if !c.isRecentlyConfirmed(e.clock(), maxIdleTime) || (id != "" && c.lastRequestID == id) {
		return nil
	}
	e.idle = slices.Delete(e.idle, last, last+1)
	e.counts.Reused++
	return c
}

// reserveSlot counts a new connection as open. At the limit it closes the oldest idle one to make room.
func (e *Exchanger) reserveSlot() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open >= e.maxOpen {
		if len(e.idle) == 0 {
			return errors.Wrapf(ErrNotAttempted, "%d connections to %s are open, the most allowed", e.open, e.address)
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

func (e *Exchanger) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

// discard closes a connection in use that must not be used again.
func (e *Exchanger) discard(c *connection) {
	c.conn.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
	e.counts.Broken++
}

// HasOpenConnection reports whether there is an idle connection whose close has not been detected.
func (e *Exchanger) HasOpenConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.idle) > 0
}

// handleIdleClose removes an idle connection that the endpoint closed or sent bytes on, and calls the hook.
func (e *Exchanger) handleIdleClose(c *connection) {
	if e.removeIdle(c) {
		c.conn.Close()
		e.idleClosedHook(e.address)
	}
}

// removeIdle removes the connection from the idle ones, counts it as closed and reports whether it was among them.
func (e *Exchanger) removeIdle(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.idle, c)
	if i < 0 {
		return false
	}
	e.idle = slices.Delete(e.idle, i, i+1)
	e.open--
	e.counts.IdleClosed++
	return true
}

// returnUnused makes a connection on which nothing was sent idle again.
func (e *Exchanger) returnUnused(c *connection) {
	if err := c.finishWatch(); err != nil {
		e.discard(c)
		return
	}
	e.makeIdle(c)
}

// makeIdle makes a connection idle and watches it, or closes it if maxIdle connections are idle.
func (e *Exchanger) makeIdle(c *connection) {
	c.confirmedAt = e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) >= e.maxIdle {
		c.conn.Close()
		e.open--
		return
	}
	e.idle = append(e.idle, c)
	c.watch(e.handleIdleClose)
}

// isCloseDelimited reports whether the body ends only with the connection, so that a truncated body looks complete.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
