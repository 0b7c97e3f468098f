package screener

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

var start = time.Unix(1_700_000_000, 0)

// waitOf returns for how long a closed connection waits, looking at the socket when the decision asks for it.
func waitOf(l lingering, unacknowledged func(since time.Duration) int) time.Duration {
	now := start
	for {
		wake, lingers := l.next(now, unacknowledged(now.Sub(start)))
		if !lingers {
			return now.Sub(start)
		}
		now = wake
	}
}

func constant(bytes int) func(time.Duration) int {
	return func(time.Duration) int { return bytes }
}

// A client that neither receives nor closes must not hold a connection, and one that receives slowly must get its
// responses, but not hold the connection without end either.
func TestLingeringEnds(t *testing.T) {
	c := qt.New(t)
	closed := func(resets bool) lingering { return newLingering(start, start, resets, false) }
	c.Check(waitOf(closed(false), constant(0)), qt.Equals, lingerTime)
	c.Check(waitOf(closed(false), constant(-1)), qt.Equals, lingerTime)
	c.Check(waitOf(closed(false), constant(1000)), qt.Equals, lingerTime)
	slow := func(since time.Duration) int { return max(int((10*time.Second-since)/time.Millisecond), 0) }
	c.Check(waitOf(closed(false), slow), qt.Equals, 10*time.Second)
	c.Check(waitOf(closed(false), func(since time.Duration) int { return int(time.Hour - since) }), qt.Equals, maxLingerTime)
	c.Check(waitOf(closed(true), func(since time.Duration) int { return int(time.Hour - since) }), qt.Equals, maxLingerTime)
	c.Check(waitOf(newLingering(start, start.Add(-time.Second), false, false), constant(0)), qt.Equals, lingerTime-time.Second)
	c.Check(waitOf(newLingering(start, start.Add(-time.Minute), false, false), constant(1000)), qt.Equals, lingerTime)
}

// The reset of a connection must come once its client has received what was written before, and not wait for the client
// to close the connection, which it does not do before the reset.
func TestLingeringBeforeAReset(t *testing.T) {
	c := qt.New(t)
	l := newLingering(start, start, true, false)
	c.Check(waitOf(l, constant(0)), qt.Equals, time.Duration(0))
	received := func(since time.Duration) int {
		if since < 500*time.Millisecond {
			return 1000
		}
		return 0
	}
	c.Check(waitOf(l, received), qt.Equals, 500*time.Millisecond)
	c.Check(waitOf(newLingering(start, start, true, true), received), qt.Equals, 500*time.Millisecond)
	c.Check(waitOf(newLingering(start, start, false, true), received), qt.Equals, time.Duration(0))
}

// A client that sends without end must not be read without end; its connection still waits for what it has not received.
func TestLingeringReadsALimitedNumberOfBytes(t *testing.T) {
	c := qt.New(t)
	l := newLingering(start, start, false, false)
	l.discarded = maxLingerBytes - 1
	c.Check(l.reads(), qt.IsTrue)
	l.discarded = maxLingerBytes
	c.Check(l.reads(), qt.IsFalse)
	c.Check(waitOf(l, constant(0)), qt.Equals, time.Duration(0))
	c.Check(waitOf(l, constant(1000)), qt.Equals, lingerTime)
}

// openConnections returns how many connections have not been closed.
func (s *Screener) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// startClosing serves large responses that close their connections, and returns the listener when n clients have got the
// start of one. They neither read on nor close.
func startClosing(t *testing.T, n int, options ...Option) (*Screener, []net.Conn) {
	t.Helper()
	server := httptest.NewUnstartedServer(MarkAmbiguous(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, 1<<20))
	})))
	server.Config.ConnContext = ConnContext
	s := New(server.Listener, options...)
	server.Listener = s
	server.Start()
	t.Cleanup(server.Close)
	var clients []net.Conn
	for range n {
		conn, err := net.Dial("tcp", s.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { conn.Close() })
		qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(32<<10), qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 1))
		qt.Assert(t, err, qt.IsNil)
		clients = append(clients, conn)
	}
	return s, clients
}

// Clients that neither receive a response nor close must not keep the listener from draining beyond the limit, nor hold
// its connections after it.
func TestDrainEndsLingering(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, _ := startClosing(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	c.Assert(s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	awaiter.New(time.Millisecond).Await(t, time.Second, "all connections are closed", func() bool { return s.openConnections() == 0 })
}

// Clients that send without end on connections that are closed must not hold them, nor be read without end.
func TestLingeringEndsWithClientsThatKeepSending(t *testing.T) {
	t.Parallel()
	s, clients := startClosing(t, 20)
	for _, client := range clients {
		go func() {
			for piece := make([]byte, 32<<10); ; {
				if _, err := client.Write(piece); err != nil {
					return
				}
			}
		}()
	}
	awaiter.New(10*time.Millisecond).Await(t, 3*lingerTime, "all connections are closed", func() bool { return s.openConnections() == 0 })
}

// Connections that are closed but wait for their clients must not keep new ones out at the limit on connections.
func TestLingeringMakesRoom(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const limit = 5
	s, _ := startClosing(t, 8*limit, WithMaxConnections(limit))
	c.Assert(s.openConnections() <= limit+closingConnections, qt.IsTrue)
}
