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
	// chunksOnWay bounds what a link holds in one direction, 16 MiB of full chunks.
	chunksOnWay = 1024
)

// direction is one of the two ways over a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// link is one relayed connection.
type link struct {
	caller net.Conn
	target net.Conn
	silent atomic.Bool
	once   sync.Once
	ended  chan struct{}
}

// chunk is what one read gave; due paces its delivery.
type chunk struct {
	bytes []byte
	err   error
	due   *time.Timer
}

func newLink(caller, target net.Conn) *link {
	return &link{caller: caller, target: target, ended: make(chan struct{})}
}

// silence makes both directions swallow what they get, ends of connections included.
func (l *link) silence() {
	l.silent.Store(true)
}

func (l *link) reset() {
	l.once.Do(func() {
		close(l.ended)
		resetConn(l.caller)
		resetConn(l.target)
	})
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.ended)
		l.caller.Close()
		l.target.Close()
	})
}

func (l *link) ends(way direction) (from, to net.Conn) {
	if way == toTarget {
		return l.caller, l.target
	}
	return l.target, l.caller
}

// carry moves bytes one way until their sender closes and all are delivered.
func (f *Forwarder) carry(open *link, way direction) {
	from, to := open.ends(way)
	onWay := make(chan chunk, chunksOnWay)
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		f.deliver(open, way, to, onWay)
	}()
	f.collect(open, way, from, onWay)
	<-delivered
}

func (f *Forwarder) collect(open *link, way direction, from net.Conn, onWay chan<- chunk) {
	defer close(onWay)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		f.count(way, n)
		select {
		case onWay <- chunk{bytes: bytes.Clone(buffer[:n]), err: err, due: time.NewTimer(f.delay())}:
		case <-open.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

func (f *Forwarder) deliver(open *link, way direction, to net.Conn, onWay <-chan chunk) {
	for next := range onWay {
		select {
		case <-next.due.C:
		case <-open.ended:
			return
		}
		if !f.await(open, way) {
			return
		}
		if !open.silent.Load() && !open.pass(to, next) {
			return
		}
	}
}

// pass hands on what one read gave, and reports whether the direction is still open.
func (l *link) pass(to net.Conn, next chunk) bool {
	if _, err := to.Write(next.bytes); err != nil {
		l.reset()
		return false
	}
	switch {
	case next.err == nil:
		return true
	case errors.Is(next.err, io.EOF):
		closeWrite(to)
	default:
		l.reset()
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
