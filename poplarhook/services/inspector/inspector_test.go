package inspector_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/status"
	"poplarhook.example/poplarhook/services/inspector"
)

// member starts a host that answers with the handler.
func member(t *testing.T, id string, handler http.HandlerFunc) host.Host {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return host.Host{ID: id, Region: "r", AvailabilityZone: "z", PeerAddress: server.Listener.Addr().String(), AdminAddress: "a:1"}
}

func runs(id string, revision int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Host{ID: id, Revision: revision, State: status.HostLive})
	}
}

func TestEachHostTellsWhatItRuns(t *testing.T) {
	silent := status.Host{ID: "h1", Region: "r", AvailabilityZone: "z", AdminAddress: "a:1", State: status.HostSilent}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    status.Host
	}{
		"one that answers":           {runs("h1", 7), status.Host{ID: "h1", Revision: 7, State: status.HostLive}},
		"another one at its address": {runs("other", 7), silent},
		"one that refuses":           {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, silent},
		"bytes that are no answer":   {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, silent},
		"one that hangs":             {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, silent},
	} {
		t.Run(name, func(t *testing.T) {
			got := inspector.New().Ask(context.Background(), []host.Host{member(t, "h1", test.handler)})
			qt.Assert(t, got, qt.DeepEquals, []status.Host{test.want})
		})
	}
}

func TestManyHostsAreAskedTogetherAndToldInOrder(t *testing.T) {
	var members []host.Host
	ids := []string{"h3", "h1", "h2"}
	var asked sync.WaitGroup
	asked.Add(len(ids))
	for _, id := range ids {
		members = append(members, member(t, id, func(w http.ResponseWriter, r *http.Request) {
			// Nobody answers before all are asked.
			asked.Done()
			asked.Wait()
			runs(id, 1)(w, r)
		}))
	}
	got := inspector.New().Ask(context.Background(), members)
	qt.Assert(t, got, qt.HasLen, len(ids))
	for i, want := range []string{"h1", "h2", "h3"} {
		qt.Assert(t, got[i], qt.Equals, status.Host{ID: want, Revision: 1, State: status.HostLive})
	}
}
