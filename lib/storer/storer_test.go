package storer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/storer"
)

func TestWriteOutcomes(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer http.HandlerFunc
		want   error
	}{
		{"applied", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"7"`) }, nil},
		{"precondition failed", newStatusHandler(http.StatusPreconditionFailed), storer.ErrConflict},
		{"too large", newStatusHandler(http.StatusRequestEntityTooLarge), storer.ErrTooLarge},
		{"unavailable", newStatusHandler(http.StatusServiceUnavailable), storer.ErrUnavailable},
		{"internal error", newStatusHandler(http.StatusInternalServerError), storer.ErrUnknownOutcome},
		{"no version", newStatusHandler(http.StatusOK), storer.ErrUnknownOutcome},
		{"reply lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, storer.ErrUnknownOutcome},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(test.answer)
			defer server.Close()
			s := storer.New(server.URL)
			defer s.Close()
			version, err := s.Put(context.Background(), "a/b", []byte("x"), storer.IfVersion(6))
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(version, qt.Equals, int64(7))
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	s := storer.New("http://" + listener.Addr().String())
	_, err = s.Put(context.Background(), "a", []byte("x"))
	c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	_, err = s.Get(context.Background(), "a")
	c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
}

func TestSlowStoreTimesOut(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	s := storer.New(server.URL, storer.WithTimeout(200*time.Millisecond))
	_, err := s.Put(context.Background(), "a", []byte("x"))
	c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
	_, err = s.Get(context.Background(), "a")
	c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
}

// A reused connection breaks after the write has arrived. In that case net/http sends a request again if it considers
// it replayable, so that the store would execute the write twice.
func TestWriteIsSentOnce(t *testing.T) {
	for _, value := range []string{"", "value"} {
		t.Run(fmt.Sprintf("%d bytes", len(value)), func(t *testing.T) {
			c := qt.New(t)
			var writes atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut {
					writes.Add(1)
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("ETag", `"1"`)
			}))
			defer server.Close()
			s := storer.New(server.URL)
			defer s.Close()
			_, err := s.Get(context.Background(), "a")
			c.Assert(err, qt.IsNil)
			_, err = s.Put(context.Background(), "a", []byte(value))
			c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
			c.Assert(writes.Load(), qt.Equals, int64(1))
		})
	}
}

func newStatusHandler(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}
