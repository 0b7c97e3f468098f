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

// startMember starts an HTTP server with the handler and returns it as a host.
func startMember(t *testing.T, id string, handler http.HandlerFunc) host.Host {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return host.Host{ID: id, Region: "r", AvailabilityZone: "z", PeerAddress: server.Listener.Addr().String(), AdminAddress: "a:1"}
}

func reportsRevision(id string, revision int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Host{ID: id, Revision: revision, State: status.HostLive})
	}
}

func TestHostIsSilentUnlessItReportsItsOwnStatus(t *testing.T) {
	silent := status.Host{ID: "h1", Region: "r", AvailabilityZone: "z", AdminAddress: "a:1", State: status.HostSilent}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    status.Host
	}{
		"reports its status":          {reportsRevision("h1", 7), status.Host{ID: "h1", Revision: 7, State: status.HostLive}},
		"another host at its address": {reportsRevision("other", 7), silent},
		"responds with an error":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, silent},
		"response is not valid JSON":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, silent},
		"does not respond":            {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, silent},
	} {
		t.Run(name, func(t *testing.T) {
			got := inspector.New().FetchStatuses(context.Background(), []host.Host{startMember(t, "h1", test.handler)})
			qt.Assert(t, got, qt.DeepEquals, []status.Host{test.want})
		})
	}
}

func TestHostsAreQueriedConcurrentlyAndReturnedInOrder(t *testing.T) {
	var members []host.Host
	ids := []string{"h3", "h1", "h2"}
	var pending sync.WaitGroup
	pending.Add(len(ids))
	for _, id := range ids {
		members = append(members, startMember(t, id, func(w http.ResponseWriter, r *http.Request) {
			// No host responds before all hosts have received a request.
			pending.Done()
			pending.Wait()
			reportsRevision(id, 1)(w, r)
		}))
	}
	got := inspector.New().FetchStatuses(context.Background(), members)
	qt.Assert(t, got, qt.HasLen, len(ids))
	for i, want := range []string{"h1", "h2", "h3"} {
		qt.Assert(t, got[i], qt.DeepEquals, status.Host{ID: want, Revision: 1, State: status.HostLive})
	}
}
