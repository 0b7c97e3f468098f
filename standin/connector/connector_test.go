package connector_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/standin/connector"
	"poplarhook.example/standin/forwarder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serveWord sends a word on each connection and closes it, until the listener closes.
func serveWord(listener net.Listener, word string) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(accepted, word)
		accepted.Close()
	}
}

func TestEachTargetGetsItsOwnAddress(t *testing.T) {
	const delayMS = 10
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	relays := connector.New(forwarder.Settings{DelayMS: delayMS})
	addresses := make(map[string]bool)
	for _, word := range []string{"first", "second", "third"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		go serveWord(listener, word)
		address, err := relays.Connect(ctx, listener.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(addresses[address], qt.IsFalse)
		addresses[address] = true
		again, err := relays.Connect(ctx, listener.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, address)

		start := time.Now()
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(conn)
		conn.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, word)
		c.Assert(time.Since(start) >= 3*delayMS*time.Millisecond, qt.IsTrue)
	}
	cancel()
	c.Assert(relays.Wait(), qt.IsNil)
}
