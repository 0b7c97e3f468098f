package supplier_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/platform/feed"
	"poplarhook.example/poplarhook/services/subscriber"
	"poplarhook.example/poplarhook/services/supplier"
)

// fanout is small so that a few hosts form a tree of several levels.
const fanout = 2

// awaitTree waits until every host but one reads from another host and none has more readers than the fanout.
func (w *cluster) awaitTree() {
	w.t.Helper()
	awaiter.New(5*time.Millisecond).Await(w.t, 20*time.Second, "hosts read from each other in a tree", func() bool {
		readersOfAll := 0
		for _, e := range w.hosts {
			readers := e.supplier.Broadcaster().Readers()
			if readers > fanout {
				return false
			}
			readersOfAll += readers
		}
		return readersOfAll == len(w.hosts)-1
	})
}

// newTree starts hosts and waits until they read from each other in a tree.
func newTree(t *testing.T, hosts int) *cluster {
	t.Helper()
	w := newCluster(t, hosts, supplier.WithFanout(fanout))
	w.awaitAll(10*time.Second, "hosts are up to date", (*entryHost).isUpToDate)
	w.awaitTree()
	return w
}

func TestTreeKeepsFanoutAndChangesReachAllHosts(t *testing.T) {
	calls := newTree(t, 9).changeFiveTimes()
	qt.Assert(t, calls <= 12, qt.IsTrue, qt.Commentf("%d calls for 5 changes at 9 hosts", calls))
}

func TestChangeIsKnownInTimeWhenAnyHostOfTreeStops(t *testing.T) {
	newTree(t, 8).stopOneByOne()
}

// When the host that follows the store is lost, hosts deeper in the tree lose their updates at the same time as their
// own sources do. They must not all fall back to the store.
func TestFewHostsFollowStoreAfterItsFollowerIsLost(t *testing.T) {
	for name, lose := range map[string]func(w *cluster, first *entryHost){
		"it stops":         (*cluster).remove,
		"it stops sending": func(_ *cluster, first *entryHost) { first.silence() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTree(t, 9)
			before := w.storeSessions()
			lose(w, w.hosts[slices.IndexFunc(w.hosts, (*entryHost).followsStore)])
			w.configure(2)
			w.awaitAll(bound, "a configuration after the first host was lost", hasVersion(2))
			sessions := w.storeSessions() - before
			qt.Assert(t, sessions <= 2, qt.IsTrue, qt.Commentf("%d hosts followed the store", sessions))
		})
	}
}

// storeSessions returns how often the running hosts have started to follow the store.
func (w *cluster) storeSessions() int {
	n := 0
	for _, e := range w.hosts {
		n += e.eventCount("source_store")
	}
	return n
}

func TestEveryHostOfTreeStartsGracePeriodAfterOutage(t *testing.T) {
	w := newTree(t, 6)
	w.simulateOutage(2)
	w.awaitAll(bound, "a configuration from during the outage", hasVersion(2))
	w.awaitAll(bound, "every host starts a grace period for expired entries", (*entryHost).hadGracePeriod)
}

// The clocks of two hosts may differ by hours, so times of endpoints must be converted to the clock of the reading
// host.
func TestTimesOfEndpointsAreConvertedToLocalClock(t *testing.T) {
	const ahead = time.Hour
	coldFor := 30 * time.Second
	endpoint, err := json.Marshal(map[string]host.Host{"e": {ID: "e", ColdUntil: time.Now().Add(ahead + coldFor)}})
	qt.Assert(t, err, qt.IsNil)
	source := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(rw, "{\"at_ms\":%d}\n{\"feed\":\"endpoints\",\"revision\":9,\"items\":%s}\n", time.Now().Add(ahead).UnixMilli(), endpoint)
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(source.Close)
	w := newCluster(t, 0)
	w.store.Put(feed.KindMembers, "source", host.Host{ID: "source", Region: "region", PeerAddress: source.Listener.Addr().String(), Capacity: 9})
	e := w.start("host-0")
	w.awaitAll(5*time.Second, "the endpoint is known", func(e *entryHost) bool { return e.knows("e") })
	e.mu.Lock()
	defer e.mu.Unlock()
	qt.Assert(t, time.Until(e.endpoints["e"].ColdUntil) < coldFor+time.Second, qt.IsTrue)
	qt.Assert(t, time.Until(e.endpoints["e"].ColdUntil) > coldFor-10*time.Second, qt.IsTrue)
}

// A host must not read from a source that is too many hops away from the store: hosts that read only from each other
// would consider themselves up to date indefinitely.
func TestHostTooManyHopsFromStoreIsNotUsedAsSource(t *testing.T) {
	far := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != subscriber.StreamPath {
			return
		}
		_, _ = rw.Write([]byte(`{"feed":"members","revision":1,"items":{}}` + "\n"))
		for pauser.Pause(r.Context(), 50*time.Millisecond) == nil {
			_, _ = rw.Write([]byte(`{"hops":4}` + "\n"))
			_ = http.NewResponseController(rw).Flush()
		}
	}))
	t.Cleanup(far.Close)
	w := newCluster(t, 0)
	w.store.Put(feed.KindMembers, "far", host.Host{ID: "far", Region: "region", PeerAddress: far.Listener.Addr().String(), Capacity: 9})
	e := w.start("host-0")
	w.awaitAll(10*time.Second, "the configuration from the store itself", hasVersion(1))
	qt.Assert(t, e.isUpToDate(), qt.IsTrue)
}

// Changes of endpoints are read in batches, so an endpoint may be added and removed, or removed and added again, within
// the changes that one watch returns.
func TestEndpointsAddedAndRemovedInOneBatchReachFinalState(t *testing.T) {
	w := newTree(t, 4)
	back := host.Host{ID: "back", Service: "s", Address: "127.0.0.1:2", AvailabilityZone: "z", Slots: 2, State: host.StateLive}
	gone, marker := back, back
	gone.ID, marker.ID = "gone", "marker"
	w.store.PutEndpoint(back)
	w.awaitAll(10*time.Second, "the first endpoint is known", func(e *entryHost) bool { return e.knows("back") })
	w.store.PutEndpoint(gone)
	w.store.RemoveEndpoint("back")
	w.store.RemoveEndpoint("gone")
	w.store.PutEndpoint(back)
	w.store.PutEndpoint(marker)
	w.awaitAll(bound, "the last change is known", func(e *entryHost) bool { return e.knows("marker") })
	for _, e := range w.hosts {
		qt.Check(t, e.knows("back"), qt.IsTrue, qt.Commentf(e.id))
		qt.Check(t, e.knows("gone"), qt.IsFalse, qt.Commentf(e.id))
	}
}

// The highest-ranked host may start later than the others, or not at all.
func TestUrgentHostDoesNotWaitForHighestRankedHost(t *testing.T) {
	w := newCluster(t, 0)
	w.store.Put(feed.KindMembers, "late", host.Host{ID: "late", Region: "region", PeerAddress: "127.0.0.1:1", Capacity: 9})
	e := w.start("host-0")
	startedAt := time.Now()
	e.supplier.SetUrgent()
	w.awaitAll(time.Second, "the configuration", hasVersion(1))
	qt.Assert(t, time.Since(startedAt) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("the host received the configuration after %v", time.Since(startedAt)))
}

func TestFewOfManyUrgentHostsFollowStore(t *testing.T) {
	const hosts = 14
	w := newCluster(t, 0)
	// All hosts are registered before they start, so each finds the others in the store.
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		w.store.Put(feed.KindMembers, id, host.Host{ID: id, Region: "region", PeerAddress: "127.0.0.1:1"})
	}
	for i := range hosts {
		w.start(fmt.Sprintf("host-%d", i)).supplier.SetUrgent()
	}
	w.awaitAll(2*time.Second, "the configuration", hasVersion(1))
	sessions := w.storeSessions()
	qt.Assert(t, sessions <= 6, qt.IsTrue, qt.Commentf("%d hosts followed the store", sessions))
}

// If a host that reads from a lower-ranked host accepted readers, the lower-ranked hosts would read from it and no host
// would follow the store.
func TestHostReadingFromLowerRankedHostDoesNotServe(t *testing.T) {
	w := newSingleSource(t, 4)
	first := w.hosts[slices.IndexFunc(w.hosts, (*entryHost).followsStore)]
	first.setRefused(true)
	for version := int64(2); version <= 6; version++ {
		w.configure(version)
		w.awaitAll(bound, "a configuration while the store refuses the first host", hasVersion(version))
		response, err := http.Get("http://" + first.server.Listener.Addr().String() + subscriber.StreamPath)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}
