package forwarder

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes = 16 << 10
	// maxChunksInTransit limits the chunks that a connPair buffers in one direction: 16 MiB when all chunks are full.
	maxChunksInTransit = 1024
)

// direction is the direction of bytes between caller and target.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// connPair is one relayed connection: the connection of the caller and the connection to the target.
type connPair struct {
	caller    net.Conn
	target    net.Conn
	silent    atomic.Bool
	closeOnce sync.Once
	ended     chan struct{}
}

// chunk is the result of one read; deliveryTimer fires when the simulated delay is over.
type chunk struct {
	bytes         []byte
	err           error
	deliveryTimer *time.Timer
}

func newConnPair(caller, target net.Conn) *connPair {
	return &connPair{caller: caller, target: target, ended: make(chan struct{})}
}

// silence makes both directions discard everything that they receive, including the close of a connection.
func (p *connPair) silence() {
	p.silent.Store(true)
}

func (p *connPair) reset() {
	p.closeOnce.Do(func() {
		close(p.ended)
		resetConn(p.caller)
		resetConn(p.target)
	})
}

func (p *connPair) close() {
	p.closeOnce.Do(func() {
		close(p.ended)
		p.caller.Close()
		p.target.Close()
	})
}

func (p *connPair) connsOf(dir direction) (from, to net.Conn) {
	if dir == toTarget {
		return p.caller, p.target
	}
	return p.target, p.caller
}

// relayDirection forwards bytes in one direction until the sender has closed and all bytes are delivered.
func (f *Forwarder) relayDirection(open *connPair, dir direction) {
	from, to := open.connsOf(dir)
	inTransit := make(chan chunk, maxChunksInTransit)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		f.deliverChunks(open, dir, to, inTransit)
	}()
	f.receiveChunks(open, dir, from, inTransit)
	<-delivered
}

func (f *Forwarder) receiveChunks(open *connPair, dir direction, from net.Conn, inTransit chan<- chunk) {
	defer close(inTransit)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		f.countBytes(dir, n)
		select {
		case inTransit <- chunk{bytes: bytes.Clone(buffer[:n]), err: err, deliveryTimer: time.NewTimer(f.linkDelay())}:
		case <-open.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

func (f *Forwarder) deliverChunks(open *connPair, dir direction, to net.Conn, inTransit <-chan chunk) {
	for next := range inTransit {
		select {
		case <-next.deliveryTimer.C:
		case <-open.ended:
			return
		}
		if !f.waitWhileCut(open, dir) {
			return
		}
		if !open.silent.Load() && !open.forwardChunk(to, next) {
			return
		}
	}
}

// forwardChunk writes the bytes of a chunk and passes on its read error: it closes the direction at the end of the
// sender's bytes, and resets the connPair at any other error. It reports whether the direction is still open.
func (p *connPair) forwardChunk(to net.Conn, next chunk) bool {
	if _, err := to.Write(next.bytes); err != nil {
		p.reset()
		return false
	}
	switch {
	case next.err == nil:
		return true
	case errors.Is(next.err, io.EOF):
		closeWrite(to)
	default:
		p.reset()
	}
	return false
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
