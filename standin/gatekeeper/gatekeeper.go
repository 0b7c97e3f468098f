package gatekeeper

import (
	"net"
	"sync"
	"time"
)

// Gatekeeper is a net.Listener that knows its open connections.
type Gatekeeper struct {
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

// Option changes a setting of a Gatekeeper.
type Option func(*Gatekeeper)

// WithLimit refuses connections over the limit; 0 is no limit.
func WithLimit(limit int) Option {
	return func(g *Gatekeeper) { g.limit = limit }
}

// WithConnectDelay lets the time pass before a new connection is read from.
func WithConnectDelay(delay time.Duration) Option {
	return func(g *Gatekeeper) { g.connectDelay = delay }
}

// WithRecording keeps every byte received.
func WithRecording(recording bool) Option {
	return func(g *Gatekeeper) { g.recording = recording }
}

// New returns a gatekeeper that accepts from the listener.
func New(listener net.Listener, options ...Option) *Gatekeeper {
	g := &Gatekeeper{Listener: listener, open: make(map[*conn]struct{})}
	for _, option := range options {
		option(g)
	}
	return g
}

// Accept returns the next connection within the limit; those over it are reset.
func (g *Gatekeeper) Accept() (net.Conn, error) {
	for {
		accepted, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, gate: g, opening: time.NewTimer(g.connectDelay), recordIndex: -1}
		if g.admit(c) {
			return c, nil
		}
		c.cut()
	}
}

// CutAll resets every open connection.
func (g *Gatekeeper) CutAll() {
	for _, c := range g.connections() {
		c.cut()
	}
}

// Forget lets every open connection fall silent for good, while new ones work.
func (g *Gatekeeper) Forget() {
	for _, c := range g.connections() {
		c.silent.Store(true)
	}
}

// Mute lets all answers vanish while it is set; a connection that missed one stays silent for good.
func (g *Gatekeeper) Mute(muted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.muted = muted
}

// Counts returns the highest number of connections open at once and how many were refused.
func (g *Gatekeeper) Counts() (peak, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak, g.refused
}

// Received returns every byte received while recording, connection by connection.
func (g *Gatekeeper) Received() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []byte
	for _, received := range g.received {
		all = append(all, received...)
		all = append(all, '\n')
	}
	return all
}

// Cut resets a connection that a Gatekeeper accepted.
func Cut(accepted net.Conn) {
	if c, ok := accepted.(*conn); ok {
		c.cut()
	}
}

// IsCut reports whether a connection that a Gatekeeper accepted was reset by it.
func IsCut(accepted net.Conn) bool {
	c, ok := accepted.(*conn)
	return ok && c.wasCut.Load()
}

func (g *Gatekeeper) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > 0 && len(g.open) >= g.limit {
		g.refused++
		return false
	}
	g.open[c] = struct{}{}
	g.peak = max(g.peak, len(g.open))
	if g.recording {
		c.recordIndex = len(g.received)
		g.received = append(g.received, nil)
	}
	return true
}

func (g *Gatekeeper) connections() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make([]*conn, 0, len(g.open))
	for c := range g.open {
		open = append(open, c)
	}
	return open
}

func (g *Gatekeeper) isMuted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.muted
}

func (g *Gatekeeper) record(c *conn, bytes []byte) {
	if c.recordIndex < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[c.recordIndex] = append(g.received[c.recordIndex], bytes...)
}

func (g *Gatekeeper) forgetClosed(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}
