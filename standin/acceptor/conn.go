package acceptor

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is one accepted connection; a silent connection discards all received bytes and all writes.
type conn struct {
	net.Conn
	acceptor     *Acceptor
	connectTimer *time.Timer
	// recordIndex is the index of this connection in Acceptor.receivedBytes, or -1 if its bytes are not recorded.
	recordIndex int
	silent      atomic.Bool
	wasReset    atomic.Bool
}

// Read waits for the connect delay before the first read.
func (c *conn) Read(p []byte) (int, error) {
	if c.connectTimer != nil {
		<-c.connectTimer.C
		c.connectTimer = nil
	}
	for {
		n, err := c.Conn.Read(p)
		c.acceptor.recordBytes(c, p[:n])
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards the bytes of a silent connection, and makes the connection silent if the Acceptor is muted.
func (c *conn) Write(p []byte) (int, error) {
	if c.acceptor.isMuted() {
		c.silent.Store(true)
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// CloseWrite lets net/http close the connection gracefully, so that the peer can still read the last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.acceptor.removeClosed(c)
	return c.Conn.Close()
}

func (c *conn) reset() {
	c.wasReset.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
