package screener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits bound the head of each request.
type Limits struct {
	// HeadBytes is the size of a head, and HeadTime the time between its first and its last byte.
	HeadBytes int
	HeadTime  time.Duration
}

// memory limits the memory of large heads.
type memory interface {
	Open(interrupt func()) uint64
	Reserve(ctx context.Context, id uint64, bytes int64) error
	Bind(id uint64) error
	Close(id uint64)
}

// unlimitedMemory has no limit.
type unlimitedMemory struct{}

func (unlimitedMemory) Open(func()) uint64 { return 0 }

func (unlimitedMemory) Reserve(context.Context, uint64, int64) error { return nil }

func (unlimitedMemory) Bind(uint64) error { return nil }

func (unlimitedMemory) Close(uint64) {}

// Screener is a listener that detects request headers with both Content-Length and Transfer-Encoding, and bounds heads and
// connections.
//
// net/http drops the Content-Length of such a request and serves it. A handler
// therefore cannot see that a load balancer in front of this host may have found
// a different end of the request (RFC 9112, section 6.1). Only header sections are
// inspected, because a body may contain any lines.
type Screener struct {
	net.Listener
	clock          func() time.Time
	limits         func() Limits
	memory         memory
	maxConnections int
	writeTimeout   time.Duration
	count          func(event string)
	logger         *zap.Logger
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
	// start starts requests early, nil if that is off.
	start func(ctx context.Context, head []byte) any
	// drained is closed when the last connection of a listener that drains is closed; nil before it drains.
	drained chan struct{}
	closeAt time.Time
	// lingerContext is the context of closed connections that wait for their clients, and endLingering ends it.
	lingerContext context.Context //nolint:containedctx // the connections live as long as the listener
	endLingering  context.CancelFunc
	// loggedAt is the time of the last log line, and unlogged the number of connections closed since then.
	loggedAt time.Time
	unlogged int
}

// Option configures a Screener.
type Option func(*Screener)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(s *Screener) { s.clock = clock }
}

// WithLimits sets the source of the limits on heads, which the configuration can change.
func WithLimits(limits func() Limits) Option {
	return func(s *Screener) { s.limits = limits }
}

// WithMemory sets what limits the memory of large heads.
func WithMemory(m memory) Option {
	return func(s *Screener) { s.memory = m }
}

// WithMaxConnections sets how many connections may be open at the same time.
func WithMaxConnections(n int) Option {
	return func(s *Screener) { s.maxConnections = n }
}

// WithWriteTimeout sets how long a client may take to accept one write of a response.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(s *Screener) { s.writeTimeout = timeout }
}

// WithCounter sets the function that counts connections that are closed because of a limit.
func WithCounter(count func(event string)) Option {
	return func(s *Screener) { s.count = count }
}

// WithLogger sets the logger for connections that are closed because of a limit.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Screener) { s.logger = logger }
}

const (
	defaultHeadBytes = 1 << 20
	defaultHeadTime  = time.Minute
	// defaultWriteTimeout lets a client take a response at 1.1 kB/s, since it is written in pieces of at most 64 KiB.
	defaultWriteTimeout = time.Minute
	// unlimitedConnections is more than a process can have.
	unlimitedConnections = 1 << 30
	// closingConnections is how many connections above the limit may exist while those that were closed for them end.
	closingConnections = 16
	// HeadGrace is for how long a listener that drains lets clients complete the head of their first request.
	HeadGrace = 500 * time.Millisecond
	// logInterval is the shortest time between two log lines about closed connections.
	logInterval = time.Second
)

// New returns a Screener that accepts connections from the listener. Without options it does not bound them.
func New(listener net.Listener, options ...Option) *Screener {
	s := &Screener{
		Listener:       listener,
		clock:          time.Now,
		limits:         func() Limits { return Limits{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime} },
		memory:         unlimitedMemory{},
		maxConnections: unlimitedConnections,
		writeTimeout:   defaultWriteTimeout,
		count:          func(string) {},
		logger:         zap.NewNop(),
		closed:         make(chan struct{}),
		conns:          make(map[*conn]struct{}),
	}
	s.lingerContext, s.endLingering = context.WithCancel(context.Background())
	for _, option := range options {
		option(s)
	}
	return s
}

// Accept waits for the next connection and returns it with detection enabled. A listener that drains returns an error
// only once it is closed.
func (s *Screener) Accept() (net.Conn, error) {
	for {
		accepted, err := s.Listener.Accept()
		if err != nil {
			if s.isDraining() {
				<-s.closed
			}
			return nil, err
		}
		c := &conn{Conn: accepted, screener: s, idleSince: s.clock()}
		if s.start != nil {
			c.early = newEarlyStarts(c)
		}
		if s.add(c) {
			return c, nil
		}
		s.count("connection_refused")
		_ = accepted.Close()
	}
}

// Close closes the listener.
func (s *Screener) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	err := s.Listener.Close()
	if s.isDraining() {
		return nil
	}
	return err
}

func (s *Screener) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained != nil
}

// add adds a connection. At the limit it closes another one for it, and returns false if none can be closed.
func (s *Screener) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConnections && !s.makeRoom() {
		return false
	}
	s.conns[c] = struct{}{}
	if s.drained != nil {
		c.closeUnlessBusy(s.closeAt)
	}
	return true
}

// makeRoom closes the connection that has waited longest without a complete head, or else the one that has been idle
// longest. One that is closed already, but waits for its client, does not wait any longer. It returns false if there is
// none to close, or if too many are being closed already. It needs the lock.
func (s *Screener) makeRoom() bool {
	open, oldest := s.oldestByStanding()
	victim := oldest[silent]
	if victim == nil {
		victim = oldest[idle]
	}
	if open >= s.maxConnections && victim == nil {
		return false
	}
	if left := oldest[leaving]; left != nil {
		left.cutLingering()
	}
	switch {
	case len(s.conns) >= s.maxConnections+closingConnections:
		return false
	case open < s.maxConnections:
		return true
	}
	s.count("connection_evicted")
	s.logLocked("too many connections")
	victim.closeUnlessBusy(time.Time{})
	return true
}

// oldestByStanding returns how many connections stay open, and of each standing the connection that has it longest. It
// needs the lock.
func (s *Screener) oldestByStanding() (open int, oldest map[standing]*conn) {
	oldest = make(map[standing]*conn)
	since := make(map[standing]time.Time)
	for c := range s.conns {
		standing, at := c.standing()
		if oldest[standing] == nil || at.Before(since[standing]) {
			oldest[standing], since[standing] = c, at
		}
		if standing != leaving && standing != closing {
			open++
		}
	}
	return open, oldest
}

func (s *Screener) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalDrained()
}

// signalDrained closes drained if no connection is left. It needs the lock.
func (s *Screener) signalDrained() {
	if s.drained == nil || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// log logs that a connection was closed, at most one line per logInterval.
func (s *Screener) log(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(reason.Error())
}

func (s *Screener) logLocked(reason string) {
	s.unlogged++
	now := s.clock()
	if now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.logger.Warn("connections of callers closed", zap.String("reason", reason), zap.Int("connections", s.unlogged), zap.Int("open", len(s.conns)))
	s.loggedAt, s.unlogged = now, 0
}

// Drain stops accepting connections and closes the open ones: each once all requests that were read from it are
// answered and the responses have arrived, or their client had its time. It returns when none is left or the context ends;
// then no connection waits for its client any longer.
func (s *Screener) Drain(ctx context.Context) error {
	s.mu.Lock()
	if s.drained == nil {
		s.drained = make(chan struct{})
		now := s.clock()
		s.closeAt = now.Add(HeadGrace)
		if limit, limited := ctx.Deadline(); limited {
			// Half of a short limit is left to close the connections.
			s.closeAt = now.Add(min(HeadGrace, time.Until(limit)/2))
		}
	}
	for c := range s.conns {
		c.closeUnlessBusy(s.closeAt)
	}
	s.signalDrained()
	drained := s.drained
	s.mu.Unlock()
	_ = s.Listener.Close()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		s.endLingering()
		return ctx.Err()
	}
}

// HasFurtherRequest reports whether the connection of the request's context has another request that was read
// completely. A response that closes the connection would leave it without an answer.
func HasFurtherRequest(ctx context.Context) bool {
	c, found := ctx.Value(connKey{}).(*conn)
	return found && c.hasFurtherRequest()
}

// endEarlyStarts prevents early starts behind the request of the context, and reports false if a later one is started.
func endEarlyStarts(ctx context.Context) bool {
	number, _ := ctx.Value(numberKey{}).(int64)
	c, found := ctx.Value(connKey{}).(*conn)
	return !found || c.early.end(number)
}

// CloseLast returns a writer that closes the connection with the response, unless a further request was read completely
// from the connection.
func CloseLast(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	return &closingWriter{ResponseWriter: w, ctx: r.Context()}
}

// closingWriter decides when the header is written, since a further request may be read together with a body.
type closingWriter struct {
	http.ResponseWriter
	ctx   context.Context //nolint:containedctx // the writer lives as long as the request
	wrote bool
}

// WriteHeader writes the header.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wrote {
		w.wrote = true
		if endEarlyStarts(w.ctx) && !HasFurtherRequest(w.ctx) {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of net/http.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
