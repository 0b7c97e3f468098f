package forwarder_test

import (
	"context"
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

// startEcho starts a relay to a server that sends back what it gets.
func startEcho(t *testing.T, settings forwarder.Settings) (*qt.C, *forwarder.Forwarder) {
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

func TestDelayEachWay(t *testing.T) {
	const delayMS = 20
	c, f := startEcho(t, forwarder.Settings{DelayMS: delayMS})
	conn := dial(c, f)
	begun := time.Now()
	sendPing(c, conn)
	text, err := receive(conn, 4, longWait)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "ping")
	c.Assert(time.Since(begun) >= 2*delayMS*time.Millisecond, qt.IsTrue)
}

func TestCutHoldsBytesBack(t *testing.T) {
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
			c, f := startEcho(t, forwarder.Settings{})
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
	c, f := startEcho(t, forwarder.Settings{})
	old := dial(c, f)
	sendPing(c, old)
	_, err := receive(old, 4, longWait)
	c.Assert(err, qt.IsNil)
	f.Change(func(s *forwarder.Settings) { s.Silence = true })
	sendPing(c, old)
	_, err = receive(old, 4, shortWait)
	c.Assert(err, qt.IsNotNil)
	fresh := dial(c, f)
	sendPing(c, fresh)
	_, err = receive(fresh, 4, longWait)
	c.Assert(err, qt.IsNil)
	f.Change(func(s *forwarder.Settings) { s.Reset = true })
	_, err = receive(fresh, 1, longWait)
	c.Assert(err, qt.ErrorMatches, ".*(reset|EOF).*")
}
