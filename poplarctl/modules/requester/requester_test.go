package requester_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/status"
	"poplarhook.example/poplarctl/modules/requester"
)

func answering(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func refusing(t *testing.T, code int, name string) string {
	return answering(t, func(w http.ResponseWriter, _ *http.Request) { problem.New(code, name, "detail").Write(w) })
}

func gone() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

func TestReadAsksTheNextHost(t *testing.T) {
	good := answering(t, func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Header.Get("Authorization"), qt.Equals, "Bearer secret-token")
		qt.Check(t, r.URL.Path, qt.Equals, "/v1/status")
		w.Header().Set("ETag", `"7"`)
		_, _ = w.Write([]byte(`{"host_id":"entry-1"}`))
	})
	broken := answering(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"host_id":`))
	})
	for _, bad := range []string{gone(), broken, refusing(t, 503, problem.CodeUnavailable)} {
		var s status.Status
		revision, err := requester.New([]string{bad, good + "/"}, "secret-token", time.Now).Read(t.Context(), "/v1/status", &s)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.HostID, qt.Equals, "entry-1")
		qt.Assert(t, revision, qt.Equals, int64(7))
	}
	var p problem.Problem
	_, err := requester.New([]string{refusing(t, 403, problem.CodeForbidden), good}, "", time.Now).Read(t.Context(), "/v1/status", nil)
	qt.Assert(t, errors.As(err, &p), qt.IsTrue)
	_, err = requester.New(nil, "", time.Now).Read(t.Context(), "/v1/status", nil)
	qt.Assert(t, err, qt.ErrorIs, requester.ErrNoAdmin)
}

func TestSendTellsNotSentFromBroken(t *testing.T) {
	stopped := make(chan struct{})
	silent := answering(t, func(http.ResponseWriter, *http.Request) { <-stopped })
	t.Cleanup(func() { close(stopped) })
	page := answering(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) })
	for admin, want := range map[string]error{
		gone(): requester.ErrNotSent, "http://[": requester.ErrNotSent, silent: requester.ErrBroken, page: requester.ErrBroken,
	} {
		r := requester.New([]string{admin}, "secret-token", time.Now, requester.WithAttemptTimeout(50*time.Millisecond))
		_, err := r.Send(t.Context(), admin, requester.Request{Method: http.MethodPut, Path: "/"}, nil)
		qt.Check(t, err, qt.ErrorIs, want)
		qt.Check(t, err, qt.Not(qt.ErrorMatches), ".*secret.*")
	}
}
