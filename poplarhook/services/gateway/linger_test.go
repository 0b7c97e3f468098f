package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/platform/imitator"
)

const (
	// largeBytes is the size of an answer that is written to the socket of a slow client long before the client has read
	// it.
	largeBytes = 1 << 20
	// slowBuffer is the size of the receive buffer of a slow client.
	slowBuffer = 32 << 10
)

// newSlowPipeline returns a connection whose client receives only what fits into a small buffer until it reads.
func (w *testEnv) newSlowPipeline(c *qt.C) *pipeline {
	p := w.newPipeline(c)
	c.Assert(p.conn.(*net.TCPConn).SetReadBuffer(slowBuffer), qt.IsNil)
	return p
}

// download sends a request for a large answer with the id. Less than the whole answer is sent if it breaks off.
func (p *pipeline) download(id string, sent int) {
	_, err := fmt.Fprintf(p.conn, "GET /lookup/%s?size=%d&sent=%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n\r\n", id, largeBytes, sent, id)
	p.c.Assert(err, qt.IsNil)
}

// keepSending sends further requests for some time after the first byte of an answer has arrived. Their outcome does not
// matter.
func (p *pipeline) keepSending() {
	_, err := p.reader.Peek(1)
	p.c.Assert(err, qt.IsNil)
	for i := range 20 {
		p.c.Assert(pauser.Pause(p.c.Context(), 10*time.Millisecond), qt.IsNil)
		_, _ = fmt.Fprintf(p.conn, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: further-%d\r\n\r\n", i)
	}
}

// receiveLarge reads a large answer and returns how it ended.
func (p *pipeline) receiveLarge() error {
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// An answer that an endpoint breaks off closes the connection of the caller. The complete answer before it had been
// written to the socket and was discarded by the reset for the next request of the caller.
func TestBrokenAnswerDoesNotDiscardTheOneBefore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newConfiguredTestEnv(t, 2)
	p := w.newSlowPipeline(c)
	p.download("whole", largeBytes)
	p.download("broken", largeBytes/2)
	p.keepSending()
	c.Assert(p.receiveLarge(), qt.IsNil)
	c.Assert(p.receiveLarge(), qt.IsNotNil)
}

// At a planned stop the last answer closes the connection. Answers that the caller was still receiving were discarded by
// the reset for the request that it sent meanwhile.
func TestAnswersAtAStopReachCallersThatKeepSending(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newConfiguredTestEnv(t, 2)
	w.setFault(300*time.Millisecond, imitator.NoFault)
	p := w.newSlowPipeline(c)
	p.download("first", largeBytes)
	p.download("second", largeBytes)
	w.waitUntil("the first request runs", func() bool { return len(w.runsOfRequest("first")) > 0 })
	w.stop()
	w.waitUntil("the gateway is no longer ready", func() bool { return !w.isReady() })
	p.keepSending()
	c.Assert(p.receiveLarge(), qt.IsNil)
	c.Assert(p.receiveLarge(), qt.IsNil)
}
