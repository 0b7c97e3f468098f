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

func startServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func startRefusingServer(t *testing.T, code int, name string) string {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) { problem.New(code, name, "detail").Write(w) })
}

func stoppedServerURL() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

func TestReadFallsBackToNextHost(t *testing.T) {
	healthy := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Header.Get("Authorization"), qt.Equals, "Bearer secret-token")
		qt.Check(t, r.URL.Path, qt.Equals, "/v1/status")
		w.Header().Set("ETag", `"7"`)
		_, _ = w.Write([]byte(`{"host_id":"entry-1"}`))
	})
	truncating := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"host_id":`))
	})
	for _, failing := range []string{stoppedServerURL(), truncating, startRefusingServer(t, 503, problem.CodeUnavailable)} {
		var decoded status.Status
		revision, err := requester.New([]string{failing, healthy + "/"}, "secret-token", time.Now).Read(t.Context(), "/v1/status", &decoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded.HostID, qt.Equals, "entry-1")
		qt.Assert(t, revision, qt.Equals, int64(7))
	}
	var p problem.Problem
	_, err := requester.New([]string{startRefusingServer(t, 403, problem.CodeForbidden), healthy}, "", time.Now).Read(t.Context(), "/v1/status", nil)
	qt.Assert(t, errors.As(err, &p), qt.IsTrue)
	_, err = requester.New(nil, "", time.Now).Read(t.Context(), "/v1/status", nil)
	qt.Assert(t, err, qt.ErrorIs, requester.ErrNoAdmin)
}

func TestSendDistinguishesNotSentFromIncompleteResponse(t *testing.T) {
	stopped := make(chan struct{})
	silent := startServer(t, func(http.ResponseWriter, *http.Request) { <-stopped })
	t.Cleanup(func() { close(stopped) })
	plainTextError := startServer(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) })
	for admin, want := range map[string]error{
		stoppedServerURL(): requester.ErrNotSent, "http://[": requester.ErrNotSent, silent: requester.ErrIncompleteResponse, plainTextError: requester.ErrIncompleteResponse,
	} {
		r := requester.New([]string{admin}, "secret-token", time.Now, requester.WithAttemptTimeout(50*time.Millisecond))
		_, err := r.Send(t.Context(), admin, requester.Request{Method: http.MethodPut, Path: "/"}, nil)
		qt.Check(t, err, qt.ErrorIs, want)
		qt.Check(t, err, qt.Not(qt.ErrorMatches), ".*secret.*")
	}
}
