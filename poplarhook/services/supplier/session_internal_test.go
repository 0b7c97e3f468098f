package supplier

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/view"
)

// A host that has lost its source must not wait for a better source that accepts connections but sends nothing.
func TestLostSourceEndsAttemptToReachBetterSource(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	s := New(host.Host{ID: "self", Region: "r"}, Store{}, Hooks{
		Configuration: func(view.View[snapshot.Snapshot]) {},
		Endpoints:     func(view.View[host.Host]) {},
		ZonesOut:      func(view.View[json.RawMessage]) {},
		Members:       func(view.View[host.Host]) {},
	})
	s.members.PutList(view.View[host.Host]{Revision: 1, Items: map[string]host.Host{
		"better": {ID: "better", Region: "r", Capacity: 9, PeerAddress: silent.Listener.Addr().String()},
	}})
	current := &session{source: host.Host{ID: "lost"}, ended: make(chan struct{})}
	lostAt := s.times.reviewInterval + 50*time.Millisecond
	time.AfterFunc(lostAt, func() { close(current.ended) })
	startedAt := time.Now()
	kept := s.nextSession(context.Background(), current)
	qt.Assert(t, kept, qt.Equals, current)
	late := time.Since(startedAt) - lostAt
	qt.Assert(t, late < 500*time.Millisecond, qt.IsTrue, qt.Commentf("nextSession returned %v after the loss of the source", late))
}
