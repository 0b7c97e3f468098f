package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/status"
	"poplarhook.example/platform/feed"
)

// getAdmin decodes the answer of the gateway's admin listener and returns the status code.
func (w *testEnv) getAdmin(path string, into any) int {
	w.t.Helper()
	response, err := http.Get("http://" + w.admin + path)
	qt.Assert(w.t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(w.t, json.NewDecoder(response.Body).Decode(into), qt.IsNil)
	return response.StatusCode
}

func TestStatusReportsHostsAndEndpoints(t *testing.T) {
	t.Parallel()
	w := newConfiguredTestEnv(t, 2)
	w.store.Put(feed.KindMembers, "entry-9", host.Host{ID: "entry-9", Region: "elsewhere", PeerAddress: "127.0.0.1:1", State: host.StateLive})
	w.putEndpointEntry(w.endpoints[0], host.StateLeaving)
	var seen status.Status
	w.waitUntil("the status has the silent host and the leaving endpoint", func() bool {
		seen = status.Status{}
		w.getAdmin("/v1/status", &seen)
		return len(seen.Hosts) == 2 && len(seen.Endpoints) == 2 && seen.Endpoints[0].State == status.EndpointLeaving
	})
	qt.Assert(t, seen.Revision, qt.Equals, int64(2))
	for _, h := range seen.Hosts {
		if h.ID == "entry-9" {
			qt.Assert(t, h.State, qt.Equals, status.HostSilent)
			continue
		}
		qt.Assert(t, h.ID, qt.Equals, "entry-1")
		qt.Assert(t, h.Revision, qt.Equals, int64(2))
		qt.Assert(t, h.State, qt.Equals, status.HostLive)
	}
	qt.Assert(t, seen.Endpoints[1].State, qt.Equals, status.EndpointWarm)
}

func TestChangesListTheKeptConfigurations(t *testing.T) {
	t.Parallel()
	w := newConfiguredTestEnv(t, 1)
	w.store.PutConfiguration(5, append(newClasses(), class.Class{
		Name: "more", Hosts: []string{"shop.example"}, PathPrefix: "/more/", Service: "stock", LatencyTargetMS: 100, DeadlineMS: 1000,
	}), nil)
	var changes []index.Change
	w.waitUntil("two configurations are listed", func() bool {
		changes = nil
		w.getAdmin("/v1/changes", &changes)
		return len(changes) == 2
	})
	qt.Assert(t, changes[0].Revision, qt.Equals, int64(5))
	qt.Assert(t, changes[0].At.IsZero(), qt.IsFalse)
	var previous, current snapshot.Snapshot
	qt.Assert(t, w.getAdmin("/v1/config?revision=2", &previous), qt.Equals, http.StatusOK)
	qt.Assert(t, w.getAdmin("/v1/config", &current), qt.Equals, http.StatusOK)
	qt.Assert(t, len(current.Documents[0].Classes), qt.Equals, len(previous.Documents[0].Classes)+1)
	var refused struct {
		Detail string `json:"detail"`
	}
	qt.Assert(t, w.getAdmin("/v1/config?revision=3", &refused), qt.Equals, http.StatusNotFound)
	qt.Assert(t, w.getAdmin("/v1/config?revision=x", &refused), qt.Equals, http.StatusBadRequest)
	qt.Assert(t, refused.Detail, qt.Contains, `revision "x"`)
}
