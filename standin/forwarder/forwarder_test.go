package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/standin/forwarder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEchoRelay starts a relay to a server that sends back every byte that it receives.
func startEchoRelay(t *testing.T, settings forwarder.Settings) (*qt.C, *forwarder.Forwarder) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				_, _ = io.Copy(accepted, accepted)
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	f := forwarder.New(listener.Addr().String(), settings)
	done, err := f.Start(ctx, "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		cancel()
		listener.Close()
		c.Check(<-done, qt.IsNil)
	})
	return c, f
}

func dial(c *qt.C, f *forwarder.Forwarder) net.Conn {
	conn, err := net.Dial("tcp", f.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

func sendPing(c *qt.C, conn net.Conn) {
	_, err := io.WriteString(conn, "ping")
	c.Assert(err, qt.IsNil)
}

func receive(conn net.Conn, n int, within time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, n)
	n, err := io.ReadFull(conn, buffer)
	return string(buffer[:n]), err
}

const (
	longWait  = 10 * time.Second
	shortWait = 30 * time.Millisecond
)

func TestDelayAppliesInEachDirection(t *testing.T) {
	const delayMS = 20
	c, f := startEchoRelay(t, forwarder.Settings{DelayMS: delayMS})
	conn := dial(c, f)
	start := time.Now()
	sendPing(c, conn)
	text, err := receive(conn, 4, longWait)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "ping")
	c.Assert(time.Since(start) >= 2*delayMS*time.Millisecond, qt.IsTrue)
}

// Opening a connection takes one round trip before the caller can send.
func TestConnectingTakesOneRoundTrip(t *testing.T) {
	const delayMS = 20
	c, f := startEchoRelay(t, forwarder.Settings{DelayMS: delayMS})
	start := time.Now()
	conn := dial(c, f)
	sendPing(c, conn)
	_, err := receive(conn, 4, longWait)
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(start) >= 4*delayMS*time.Millisecond, qt.IsTrue)
}

// Many small chunks are in transit at the same time. Each chunk must arrive unchanged, in order and after its own delay
// only.
func TestChunksInTransitOverlap(t *testing.T) {
	const (
		delay   = 300 * time.Millisecond
		chunks  = 200
		maxTime = 5 * delay / 2
	)
	c, f := startEchoRelay(t, forwarder.Settings{DelayMS: int(delay / time.Millisecond)})
	conn := dial(c, f)
	sendPing(c, conn)
	_, err := receive(conn, 4, longWait)
	c.Assert(err, qt.IsNil)
	sent := make(chan time.Time, chunks)
	ticker := time.NewTicker(500 * time.Microsecond)
	defer ticker.Stop()
	go func() {
		for i := range chunks {
			<-ticker.C
			sent <- time.Now()
			_, _ = fmt.Fprintf(conn, "%04d", i)
		}
	}()
	for i := range chunks {
		text, err := receive(conn, 4, longWait)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, fmt.Sprintf("%04d", i))
		took := time.Since(<-sent)
		c.Assert(took >= 2*delay, qt.IsTrue, qt.Commentf("chunk %d took %v", i, took))
		c.Assert(took <= maxTime, qt.IsTrue, qt.Commentf("chunk %d took %v", i, took))
	}
}

func TestCutDelaysBytesUntilItEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(*forwarder.Settings)
		to   int64
		from int64
	}{
		{"to the target", func(s *forwarder.Settings) { s.CutToTarget = true }, 4, 0},
		{"from the target", func(s *forwarder.Settings) { s.CutFromTarget = true }, 4, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, f := startEchoRelay(t, forwarder.Settings{})
			conn := dial(c, f)
			f.Change(test.cut)
			sendPing(c, conn)
			_, err := receive(conn, 4, shortWait)
			c.Assert(err, qt.IsNotNil)
			to, from := f.Bytes()
			c.Assert(to, qt.Equals, test.to)
			c.Assert(from, qt.Equals, test.from)
			f.Change(func(s *forwarder.Settings) { *s = forwarder.Settings{} })
			text, err := receive(conn, 4, longWait)
			c.Assert(err, qt.IsNil)
			c.Assert(text, qt.Equals, "ping")
		})
	}
}

func TestSilenceAndReset(t *testing.T) {
	c, f := startEchoRelay(t, forwarder.Settings{})
	oldConn := dial(c, f)
	sendPing(c, oldConn)
	_, err := receive(oldConn, 4, longWait)
	c.Assert(err, qt.IsNil)
	f.Change(func(s *forwarder.Settings) { s.Silence = true })
	sendPing(c, oldConn)
	_, err = receive(oldConn, 4, shortWait)
	c.Assert(err, qt.IsNotNil)
	newConn := dial(c, f)
	sendPing(c, newConn)
	_, err = receive(newConn, 4, longWait)
	c.Assert(err, qt.IsNil)
	f.Change(func(s *forwarder.Settings) { s.Reset = true })
	_, err = receive(newConn, 1, longWait)
	c.Assert(err, qt.ErrorMatches, ".*(reset|EOF).*")
}
