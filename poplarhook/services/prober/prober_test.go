package prober_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/services/prober"
)

// fakeEndpoint answers probes and keeps their ids.
type fakeEndpoint struct {
	mu       sync.Mutex
	ids      []string
	recorded int
}

func (f *fakeEndpoint) Send(_ context.Context, _ binding.Binding, j job.Job) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, j.ID)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func (f *fakeEndpoint) SilentEndpoints(time.Time, time.Duration) []host.Host {
	return []host.Host{{ID: "silent"}}
}

func (f *fakeEndpoint) RecordProbe(host.Host, report.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded++
}

func (f *fakeEndpoint) Allow(time.Time, int) bool { return true }

// A connection does not carry two requests of the same id in a row, so probes with one id would each open a connection.
func TestProbesHaveDifferentIDs(t *testing.T) {
	c := qt.New(t)
	f := &fakeEndpoint{}
	ctx, cancel := context.WithCancel(context.Background())
	done := prober.New(f, f, f, 2*time.Millisecond, time.Now, func(string) {}).Run(ctx)
	awaiter.New(time.Millisecond).Await(t, 10*time.Second, "three probes", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.recorded >= 3
	})
	cancel()
	c.Assert(<-done, qt.IsNil)
	seen := make(map[string]bool)
	for _, id := range f.ids {
		c.Assert(seen[id], qt.IsFalse, qt.Commentf("id %q of %v", id, f.ids))
		seen[id] = true
	}
}
