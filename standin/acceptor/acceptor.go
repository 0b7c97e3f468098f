package acceptor

import (
	"net"
	"sync"
	"time"
)

// Acceptor is a net.Listener that tracks its open connections and can reset or silence them.
type Acceptor struct {
	net.Listener
	limit        int
	connectDelay time.Duration
	recording    bool

	mu       sync.Mutex
	open     map[*conn]struct{}
	muted    bool
	peak     int
	refused  int
	received [][]byte
}

// Option changes a setting of an Acceptor.
type Option func(*Acceptor)

// WithLimit sets the number of open connections above which new ones are refused; 0 means no limit.
func WithLimit(limit int) Option {
	return func(a *Acceptor) { a.limit = limit }
}

// WithConnectDelay sets the delay before the first read from a new connection.
func WithConnectDelay(delay time.Duration) Option {
	return func(a *Acceptor) { a.connectDelay = delay }
}

// WithRecording sets whether every received byte is kept.
func WithRecording(recording bool) Option {
	return func(a *Acceptor) { a.recording = recording }
}

// New returns an acceptor for the connections of the listener.
func New(listener net.Listener, options ...Option) *Acceptor {
	a := &Acceptor{Listener: listener, open: make(map[*conn]struct{})}
	for _, option := range options {
		option(a)
	}
	return a
}

// Accept returns the next connection within the limit, and resets connections over the limit.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, acceptor: a, connectTimer: time.NewTimer(a.connectDelay), recordIndex: -1}
		if a.admit(c) {
			return c, nil
		}
		c.reset()
	}
}

// ResetAll resets every open connection.
func (a *Acceptor) ResetAll() {
	for _, c := range a.connections() {
		c.reset()
	}
}

// SilenceAll makes every open connection discard all further bytes in both directions; new connections work.
func (a *Acceptor) SilenceAll() {
	for _, c := range a.connections() {
		c.silent.Store(true)
	}
}

// SetMuted makes connections discard all writes while muted is true. A connection that has discarded a write stays
// silent afterwards.
func (a *Acceptor) SetMuted(muted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.muted = muted
}

// Counts returns the highest number of connections that were open at once, and how many were refused.
func (a *Acceptor) Counts() (peak, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak, a.refused
}

// Received returns all recorded bytes, with a newline after the bytes of each connection.
func (a *Acceptor) Received() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []byte
	for _, received := range a.received {
		all = append(all, received...)
		all = append(all, '\n')
	}
	return all
}

// Reset resets a connection that an Acceptor accepted.
func Reset(accepted net.Conn) {
	if c, ok := accepted.(*conn); ok {
		c.reset()
	}
}

// WasReset reports whether a connection that an Acceptor accepted was reset by the Acceptor.
func WasReset(accepted net.Conn) bool {
	c, ok := accepted.(*conn)
	return ok && c.wasReset.Load()
}

func (a *Acceptor) admit(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit > 0 && len(a.open) >= a.limit {
		a.refused++
		return false
	}
	a.open[c] = struct{}{}
	a.peak = max(a.peak, len(a.open))
	if a.recording {
		c.recordIndex = len(a.received)
		a.received = append(a.received, nil)
	}
	return true
}

func (a *Acceptor) connections() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	open := make([]*conn, 0, len(a.open))
	for c := range a.open {
		open = append(open, c)
	}
	return open
}

func (a *Acceptor) isMuted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.muted
}

func (a *Acceptor) record(c *conn, bytes []byte) {
	if c.recordIndex < 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received[c.recordIndex] = append(a.received[c.recordIndex], bytes...)
}

func (a *Acceptor) removeClosed(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}
