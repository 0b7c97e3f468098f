package gatekeeper

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is one accepted connection; a silent one discards what arrives and what it is given to send.
type conn struct {
	net.Conn
	gate        *Gatekeeper
	opening     *time.Timer
	recordIndex int
	silent      atomic.Bool
	wasCut      atomic.Bool
}

// Read waits out the connect delay before the first read.
func (c *conn) Read(p []byte) (int, error) {
	if c.opening != nil {
		<-c.opening.C
		c.opening = nil
	}
	for {
		n, err := c.Conn.Read(p)
		c.gate.record(c, p[:n])
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.gate.isMuted() {
		c.silent.Store(true)
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// CloseWrite lets net/http close gracefully, so that the peer still reads the last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.gate.forgetClosed(c)
	return c.Conn.Close()
}

func (c *conn) cut() {
	c.wasCut.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
