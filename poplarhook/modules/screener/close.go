package screener

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"poplarhook.example/lib/pauser"
)

// lingerPieceBytes is the size of the pieces in which the bytes of a closed connection are discarded.
const lingerPieceBytes = 1 << 10

// closeUnlessBusy closes the connection once all requests that were read from it are answered. One that has not been
// idle may complete the head of a request until the given time.
//
// The connection is closed by the goroutine that reads from it, which sees whether a request
// arrives at the same moment.
func (c *conn) closeUnlessBusy(closeAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.closeAt = true, closeAt
	if c.hasHadRequest && !c.isInHead {
		c.closeAt = time.Time{}
	}
	if c.unanswered == 0 && !c.closed {
		_ = c.Conn.SetReadDeadline(c.closeDeadline())
	}
}

// standing says why a connection is open.
type standing int

const (
	// silent is a connection without a complete head, idle one between two requests, and busy one with a request.
	silent standing = iota
	idle
	busy
	// closing is a connection that will be closed by its reader, and leaving one that is closed but waits for its client.
	closing
	leaving
)

// standing returns why the connection is open, and since when.
func (c *conn) standing() (standing, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.endLingering != nil:
		return leaving, c.closedAt
	case c.closed || c.closing && c.unanswered == 0:
		return closing, c.idleSince
	case c.unanswered > 0:
		return busy, c.idleSince
	case c.hasHadRequest && !c.isInHead:
		return idle, c.idleSince
	default:
		return silent, c.idleSince
	}
}

// Close ends the requests of the connection. Its socket is closed later, within maxLingerTime, if the client may not
// have received all that was written: every way of closing a connection passes here, so none discards a response.
func (c *conn) Close() error {
	if c.early != nil {
		c.early.cancel()
	}
	now := c.screener.clock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed, c.closedAt = true, now
	// Reads and writes that are pending end here.
	_ = c.SetDeadline(pastDeadline)
	release := c.detachAccount()
	lingers := c.mustLinger(now)
	l := newLingering(now, c.lastWrite, c.resets, c.hasEnded.Load())
	ctx := c.screener.lingerContext
	if lingers {
		ctx, c.endLingering = context.WithCancel(ctx)
	}
	c.mu.Unlock()
	release()
	if !lingers {
		return c.closeSocket()
	}
	go c.lingerAndClose(ctx, l)
	return nil
}

// lingerAndClose waits for the client and then closes the socket. Drain notices the end, as that of an open connection.
func (c *conn) lingerAndClose(ctx context.Context, l lingering) {
	c.linger(ctx, l)
	if unacknowledgedBytes(c.Conn) > 0 {
		c.screener.count("responses_not_received")
	}
	// The client has received the responses, or had its time: an error of the close changes nothing.
	_ = c.closeSocket()
}

// closeSocket closes the socket and then removes the connection from those of the listener.
func (c *conn) closeSocket() error {
	defer c.screener.remove(c)
	c.cutLingering()
	c.mu.Lock()
	resets := c.resets
	c.mu.Unlock()
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && resets {
		if err := l.SetLinger(0); err != nil {
			c.screener.log(err)
		}
	}
	return c.Conn.Close()
}

// cutLingering ends the wait for the client.
func (c *conn) cutLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endLingering != nil {
		c.endLingering()
		c.endLingering = nil
	}
}

// SetLinger sets how the connection is closed: with zero seconds by a reset, after what was written before.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return nil
}

// CloseWrite closes the sending direction, so that the client can still read a refusal.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// mustLinger reports whether the connection has to wait for its client before it is closed: not if the client has ended
// it, or has had the time to receive all that was written. It needs the lock.
func (c *conn) mustLinger(now time.Time) bool {
	if c.lastWrite.IsZero() || c.hasFailed.Load() || c.hasEnded.Load() && !c.resets {
		return false
	}
	return now.Before(c.lastWrite.Add(lingerTime)) || unacknowledgedBytes(c.Conn) > 0
}

// linger closes the sending direction and reads and discards what the client sends until it closes the connection or a
// bound is reached. The context ends the wait at once.
func (c *conn) linger(ctx context.Context, l lingering) {
	// A read that was pending when the connection was closed has failed at its deadline.
	c.reading.Lock()
	defer c.reading.Unlock()
	if !l.resets {
		_ = c.CloseWrite()
	}
	stopInterrupt := context.AfterFunc(ctx, c.interruptSocket)
	defer stopInterrupt()
	piece := make([]byte, lingerPieceBytes)
	for ctx.Err() == nil {
		now := c.screener.clock()
		wake, lingers := l.next(now, unacknowledgedBytes(c.Conn))
		if !lingers {
			return
		}
		if !l.reads() {
			_ = pauser.Pause(ctx, wake.Sub(now))
			continue
		}
		n, err := c.discard(ctx, piece, wake)
		l.discarded += n
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF):
			l.hasEnded = true
		default:
			return
		}
	}
}

// interruptSocket makes a pending read of the socket fail.
func (c *conn) interruptSocket() {
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// discard reads once, until the time at most.
func (c *conn) discard(ctx context.Context, piece []byte, until time.Time) (int, error) {
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return 0, err
	}
	if ctx.Err() != nil {
		// The deadline may have replaced the one that interrupts the read.
		return 0, ctx.Err()
	}
	return c.Conn.Read(piece)
}

// unacknowledgedBytes returns how many written bytes the kernel of the client has not acknowledged, negative if that is
// not known.
func unacknowledgedBytes(c net.Conn) int {
	socket, hasSocket := c.(syscall.Conn)
	if !hasSocket {
		return -1
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	err = raw.Control(func(fd uintptr) {
		if queued, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr == nil {
			n = queued
		}
	})
	if err != nil {
		return -1
	}
	return n
}
