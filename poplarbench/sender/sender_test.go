package sender_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
)

func writeProblem(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/problem+json; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, text)
}

func writeTruncated(w http.ResponseWriter, length string) {
	w.Header().Set("Content-Length", length)
	_, _ = io.WriteString(w, `{"request_id":"r1"}`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestSendClassifiesOutcomes(t *testing.T) {
	table := []struct {
		name    string
		handler http.HandlerFunc
		kind    outcome.Kind
		detail  string
	}{
		{"complete answer", func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, `{"request_id":%q}`, r.Header.Get("X-Request-Id"))
		}, outcome.Served, ""},
		{"answer to another request", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request_id":"r2"}`) }, outcome.WrongAnswer, "answer to another request"},
		{"no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request_`) }, outcome.WrongAnswer, "answer is not JSON"},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, `{"title":"full","outcome":"not_run"}`) }, outcome.NotRun, "status 503 full"},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, `{"outcome":"unknown"}`) }, outcome.Unknown, "status 503"},
		{"no outcome", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, `{}`) }, outcome.Unknown, "status 503 without outcome"},
		{"no problem details", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, outcome.Unknown, "status 502 without problem details"},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) { writeTruncated(w, "400") }, outcome.Broken, "in the answer: connection closed early"},
		{"closed without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcome.Broken, "connection closed early"},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, outcome.Broken, "timeout"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(row.handler)
			defer server.Close()
			mix := []scenario.Entry{{Name: "a", Method: http.MethodGet, Path: "/"}}
			s := sender.New(mix, []string{server.Listener.Addr().String()}, time.Now, sender.WithTimeout(200*time.Millisecond))
			defer s.Close()
			result := s.Send(t.Context(), scheduler.Arrival{RequestID: "r1"}, time.Now())
			qt.Assert(t, result.Kind, qt.Equals, row.kind)
			qt.Assert(t, result.Detail, qt.Equals, row.detail)
			qt.Assert(t, result.Resends, qt.Equals, 0)
		})
	}
}

func TestSendHeaders(t *testing.T) {
	c := qt.New(t)
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r }))
	defer server.Close()
	mix := []scenario.Entry{{
		Name: "a", Method: http.MethodPost, Path: "/orders?x=1", Host: "shop.example",
		IdempotencyKey: true, DeadlineMS: 250, Marker: "m", AnswerBytes: 9, BodyBytes: 3,
	}}
	s := sender.New(mix, []string{server.Listener.Addr().String()}, time.Now)
	defer s.Close()
	s.Send(t.Context(), scheduler.Arrival{RequestID: "r1"}, time.Now())
	c.Assert(got.Host, qt.Equals, "shop.example")
	c.Assert(got.RequestURI, qt.Equals, "/orders?x=1")
	c.Assert(got.ContentLength, qt.Equals, int64(3))
	c.Assert(got.Header.Get(sender.IdempotencyKeyHeader), qt.Equals, "r1")
	c.Assert(got.Header.Get(sender.DeadlineHeader), qt.Equals, "250m")
	c.Assert(got.Header.Get(sender.MarkerHeader), qt.Equals, "m")
	c.Assert(got.Header.Get(sender.AnswerBytesHeader), qt.Equals, "9")
}

// Latency is measured from the intended send time, so that it includes the delay of a request that was sent late.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	mix := []scenario.Entry{{Name: "a", Method: http.MethodGet, Path: "/"}}
	s := sender.New(mix, []string{server.Listener.Addr().String()}, time.Now)
	defer s.Close()
	start := time.Now().Add(-time.Second)
	result := s.Send(t.Context(), scheduler.Arrival{RequestID: "r1", Intended: 400 * time.Millisecond}, start)
	c.Assert(result.IsLate, qt.IsTrue)
	c.Assert(result.Latency >= 600*time.Millisecond, qt.IsTrue)
}
