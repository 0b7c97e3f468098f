package acceptor

import (
	"net"
	"sync"
	"time"
)

// Acceptor is a net.Listener that tracks its open connections and can reset or silence them.
type Acceptor struct {
	net.Listener
	openLimit    int
	connectDelay time.Duration
	recording    bool

	mu           sync.Mutex
	openConns    map[*conn]struct{}
	muted        bool
	openPeak     int
	refusedConns int
	// receivedBytes holds the recorded bytes of each connection, in the order in which they were accepted.
	receivedBytes [][]byte
}

// Option changes a setting of an Acceptor.
type Option func(*Acceptor)

// WithLimit sets the number of open connections above which new ones are refused; 0 means no limit.
func WithLimit(limit int) Option {
	return func(a *Acceptor) { a.openLimit = limit }
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
	a := &Acceptor{Listener: listener, openConns: make(map[*conn]struct{})}
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
		if a.admitConn(c) {
			return c, nil
		}
		c.reset()
	}
}

// ResetAll resets every open connection.
func (a *Acceptor) ResetAll() {
	for _, c := range a.openConnections() {
		c.reset()
	}
}

// SilenceAll makes every connection that is open at the call discard all further bytes in both directions; connections
// that are accepted later work.
func (a *Acceptor) SilenceAll() {
	for _, c := range a.openConnections() {
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
	return a.openPeak, a.refusedConns
}

// Received returns all recorded bytes, with a newline after the bytes of each connection.
func (a *Acceptor) Received() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []byte
	for _, received := range a.receivedBytes {
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

// admitConn counts a connection as open, or as refused when openLimit connections are open already.
func (a *Acceptor) admitConn(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openLimit > 0 && len(a.openConns) >= a.openLimit {
		a.refusedConns++
		return false
	}
	a.openConns[c] = struct{}{}
	a.openPeak = max(a.openPeak, len(a.openConns))
	if a.recording {
		c.recordIndex = len(a.receivedBytes)
		a.receivedBytes = append(a.receivedBytes, nil)
	}
	return true
}

func (a *Acceptor) openConnections() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	open := make([]*conn, 0, len(a.openConns))
	for c := range a.openConns {
		open = append(open, c)
	}
	return open
}

func (a *Acceptor) isMuted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.muted
}

// recordBytes appends received bytes to the record of their connection, which exists if the Acceptor records.
func (a *Acceptor) recordBytes(c *conn, bytes []byte) {
	if c.recordIndex < 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedBytes[c.recordIndex] = append(a.receivedBytes[c.recordIndex], bytes...)
}

func (a *Acceptor) removeClosed(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.openConns, c)
}
