package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/lib/service"
	"poplarhook.example/platform/imitator"
)

const (
	// lateOffer is how long after its begin a stop of six seconds offers no requests any more that may outlast it.
	lateOffer = 3 * time.Second
	// slowWork is how long an endpoint takes for a request that is sent to it then, which is cut off before it ends.
	slowWork = 4 * time.Second
)

// newPatientTestEnv starts a gateway whose callers wait longer than a stop takes.
func newPatientTestEnv(t *testing.T) *testEnv {
	t.Helper()
	w := newTestEnv(t, 2)
	classes := newClasses()
	for i := range classes {
		classes[i].DeadlineMS = 20_000
	}
	w.store.PutConfiguration(2, classes, []service.Service{{Name: "stock", HealthPath: "/health", Connections: 100, ColdPerSecond: 5}})
	w.waitUntil("the gateway is ready", w.isReady)
	return w
}

// order sends the head of a once-only request with the id and returns its body.
func (p *pipeline) order(id, header string) string {
	const body = "ordered"
	_, err := fmt.Fprintf(p.conn, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n", id, len(body), header)
	p.c.Assert(err, qt.IsNil)
	return body
}

// receiveStatus reads the response to the request with the id and returns its status.
func (p *pipeline) receiveStatus(id string) int {
	response, err := http.ReadResponse(p.reader, nil)
	p.c.Assert(err, qt.IsNil, qt.Commentf("response to %s", id))
	_, err = io.Copy(io.Discard, response.Body)
	p.c.Assert(err, qt.IsNil)
	p.c.Assert(response.Header.Get("Request-Id"), qt.Equals, id)
	return response.StatusCode
}

// A request that reached an endpoint late in a planned stop was cut off at its end without an answer, although it ran.
// Here its body arrives late.
func TestBodyThatArrivesLateInAStopIsNotOffered(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newPatientTestEnv(t)
	w.setFault(slowWork, imitator.NoFault)
	late, short := w.newPipeline(c), w.newPipeline(c)
	body := late.order("late", "")
	_ = short.order("short", "Deadline-Ms: 3500\r\n")
	stoppedAt := time.Now()
	w.stop()
	c.Assert(pauser.Pause(t.Context(), lateOffer+100*time.Millisecond-time.Since(stoppedAt)), qt.IsNil)
	w.setFault(time.Millisecond, imitator.NoFault)
	_, err := io.WriteString(short.conn, body)
	c.Assert(err, qt.IsNil)
	c.Assert(short.receiveStatus("short"), qt.Equals, http.StatusOK)
	w.setFault(slowWork, imitator.NoFault)
	_, err = io.WriteString(late.conn, body)
	c.Assert(err, qt.IsNil)
	c.Assert(late.receiveStatus("late"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.runsOfRequest("late"), qt.HasLen, 0)
}

// As before, for a request that was sent behind another one on its connection, which takes until late in the stop.
func TestRequestBehindALongOneIsNotOfferedLateInAStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newPatientTestEnv(t)
	w.setFault(lateOffer+500*time.Millisecond, imitator.NoFault)
	p := w.newPipeline(c)
	_, err := io.WriteString(p.conn, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: long\r\n\r\n")
	c.Assert(err, qt.IsNil)
	w.waitUntil("the first request runs", func() bool { return len(w.runsOfRequest("long")) > 0 })
	body := p.order("behind", "")
	_, err = io.WriteString(p.conn, body)
	c.Assert(err, qt.IsNil)
	w.stop()
	w.setFault(slowWork, imitator.NoFault)
	c.Assert(p.receiveStatus("long"), qt.Equals, http.StatusOK)
	c.Assert(p.receiveStatus("behind"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.runsOfRequest("behind"), qt.HasLen, 0)
}
