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

func problem(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/problem+json; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, text)
}

func abort(w http.ResponseWriter, length string) {
	w.Header().Set("Content-Length", length)
	_, _ = io.WriteString(w, `{"request_id":"r1"}`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestSendClassifies(t *testing.T) {
	table := []struct {
		name    string
		handler http.HandlerFunc
		kind    outcome.Kind
		detail  string
	}{
		{"whole", func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, `{"request_id":%q}`, r.Header.Get("X-Request-Id"))
		}, outcome.Served, ""},
		{"of another", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request_id":"r2"}`) }, outcome.WrongAnswer, "answer to another request"},
		{"no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request_`) }, outcome.WrongAnswer, "answer is not JSON"},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { problem(w, `{"title":"full","outcome":"not_run"}`) }, outcome.NotRun, "status 503 full"},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) { problem(w, `{"outcome":"unknown"}`) }, outcome.Unknown, "status 503"},
		{"no outcome", func(w http.ResponseWriter, _ *http.Request) { problem(w, `{}`) }, outcome.Unknown, "status 503 without outcome"},
		{"no problem", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, outcome.Unknown, "status 502 without problem details"},
		{"short", func(w http.ResponseWriter, _ *http.Request) { abort(w, "400") }, outcome.Broken, "in the answer: connection closed early"},
		{"nothing", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, outcome.Broken, "connection closed early"},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, outcome.Broken, "timeout"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(row.handler)
			defer server.Close()
			mix := []scenario.Entry{{Name: "a", Method: http.MethodGet, Path: "/"}}
			s := sender.New(mix, []string{server.Listener.Addr().String()}, time.Now, sender.WithTimeout(200*time.Millisecond))
			defer s.Close()
			seen := s.Send(t.Context(), scheduler.Arrival{RequestID: "r1"}, time.Now())
			qt.Assert(t, seen.Kind, qt.Equals, row.kind)
			qt.Assert(t, seen.Detail, qt.Equals, row.detail)
			qt.Assert(t, seen.Resends, qt.Equals, 0)
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

// A request that had to wait for a connection is late, and its latency counts the wait.
func TestSendCountsFromIntendedTime(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	mix := []scenario.Entry{{Name: "a", Method: http.MethodGet, Path: "/"}}
	s := sender.New(mix, []string{server.Listener.Addr().String()}, time.Now)
	defer s.Close()
	start := time.Now().Add(-time.Second)
	seen := s.Send(t.Context(), scheduler.Arrival{RequestID: "r1", Intended: 400 * time.Millisecond}, start)
	c.Assert(seen.IsLate, qt.IsTrue)
	c.Assert(seen.Latency >= 600*time.Millisecond, qt.IsTrue)
}
