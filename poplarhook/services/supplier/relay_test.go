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

// fanout makes trees of a few hosts.
const fanout = 2

// settleIntoTree waits until every host but one reads from another, of which none serves more than it should.
func (w *world) settleIntoTree() {
	w.t.Helper()
	awaiter.New(5*time.Millisecond).Await(w.t, 20*time.Second, "hosts read from each other", func() bool {
		all := 0
		for _, e := range w.hosts {
			readers := e.supplier.Broadcaster().Readers()
			if readers > fanout {
				return false
			}
			all += readers
		}
		return all == len(w.hosts)-1
	})
}

// newTree starts hosts that read from each other in a tree.
func newTree(t *testing.T, hosts int) *world {
	t.Helper()
	w := newWorld(t, hosts, supplier.WithFanout(fanout))
	w.all(10*time.Second, "hosts are up to date", (*entryHost).isHeard)
	w.settleIntoTree()
	return w
}

func TestNoHostServesMoreThanAFewAndChangesReachAll(t *testing.T) {
	calls := newTree(t, 9).changeFiveTimes()
	qt.Assert(t, calls <= 12, qt.IsTrue, qt.Commentf("%d calls for 5 changes at 9 hosts", calls))
}

func TestAChangeIsKnownInTimeWhenAnyHostOfATreeDies(t *testing.T) {
	newTree(t, 8).loseOneByOne()
}

// Hosts below the first lose their source at the same moment as those above them.
func TestFewHostsFollowTheStoreAfterTheFirstIsLost(t *testing.T) {
	for name, lose := range map[string]func(w *world, first *entryHost){
		"it dies":         (*world).drop,
		"it falls silent": func(_ *world, first *entryHost) { first.silence() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTree(t, 9)
			before := w.followed()
			lose(w, w.hosts[slices.IndexFunc(w.hosts, (*entryHost).followsStore)])
			w.configure(2)
			w.all(bound, "a configuration after the first host was lost", hasVersion(2))
			followed := w.followed() - before
			qt.Assert(t, followed <= 2, qt.IsTrue, qt.Commentf("%d hosts followed the store", followed))
		})
	}
}

// followed returns how often the hosts that run have begun to follow the store.
func (w *world) followed() int {
	n := 0
	for _, e := range w.hosts {
		n += e.event("source_store")
	}
	return n
}

func TestEveryHostOfATreeLearnsOfTheGraceAfterAnOutage(t *testing.T) {
	w := newTree(t, 6)
	w.playOutage(2)
	w.all(bound, "a configuration from during the outage", hasVersion(2))
	w.all(bound, "every host gives lapsed entries a grace", (*entryHost).hadGrace)
}

// Clocks of hosts may be hours apart.
func TestTimesOfEndpointsAreThoseOfTheOwnClock(t *testing.T) {
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
	w := newWorld(t, 0)
	w.store.Put(feed.KindMembers, "source", host.Host{ID: "source", Region: "region", PeerAddress: source.Listener.Addr().String(), Capacity: 9})
	e := w.start("host-0")
	w.all(5*time.Second, "the endpoint", func(e *entryHost) bool { return e.knows("e") })
	e.mu.Lock()
	defer e.mu.Unlock()
	qt.Assert(t, time.Until(e.items["e"].ColdUntil) < coldFor+time.Second, qt.IsTrue)
	qt.Assert(t, time.Until(e.items["e"].ColdUntil) > coldFor-10*time.Second, qt.IsTrue)
}

// Hosts that only read from each other would believe for ever that they are up to date.
func TestAHostThatHearsTheStoreThroughTooManyIsNoSource(t *testing.T) {
	far := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != subscriber.Path {
			return
		}
		_, _ = rw.Write([]byte(`{"feed":"members","revision":1,"items":{}}` + "\n"))
		for pauser.Pause(r.Context(), 50*time.Millisecond) == nil {
			_, _ = rw.Write([]byte(`{"hops":4}` + "\n"))
			_ = http.NewResponseController(rw).Flush()
		}
	}))
	t.Cleanup(far.Close)
	w := newWorld(t, 0)
	w.store.Put(feed.KindMembers, "far", host.Host{ID: "far", Region: "region", PeerAddress: far.Listener.Addr().String(), Capacity: 9})
	e := w.start("host-0")
	w.all(10*time.Second, "the configuration from the store itself", hasVersion(1))
	qt.Assert(t, e.isHeard(), qt.IsTrue)
}

// Changes of endpoints are read together, so one may come and go, or go and come back, in what one watch brings.
func TestEndpointsThatComeAndGoAtOnceAreToldAsTheyEnd(t *testing.T) {
	w := newTree(t, 4)
	back := host.Host{ID: "back", Service: "s", Address: "127.0.0.1:2", AvailabilityZone: "z", Slots: 2, State: host.StateLive}
	gone, marker := back, back
	gone.ID, marker.ID = "gone", "marker"
	w.store.PutEndpoint(back)
	w.all(10*time.Second, "the first endpoint", func(e *entryHost) bool { return e.knows("back") })
	w.store.PutEndpoint(gone)
	w.store.RemoveEndpoint("back")
	w.store.RemoveEndpoint("gone")
	w.store.PutEndpoint(back)
	w.store.PutEndpoint(marker)
	w.all(bound, "the last change", func(e *entryHost) bool { return e.knows("marker") })
	for _, e := range w.hosts {
		qt.Check(t, e.knows("back"), qt.IsTrue, qt.Commentf(e.id))
		qt.Check(t, e.knows("gone"), qt.IsFalse, qt.Commentf(e.id))
	}
}

// The first in rank may start later than the others, or not at all.
func TestAHostInAHurryDoesNotWaitForTheFirstInRank(t *testing.T) {
	w := newWorld(t, 0)
	w.store.Put(feed.KindMembers, "late", host.Host{ID: "late", Region: "region", PeerAddress: "127.0.0.1:1", Capacity: 9})
	e := w.start("host-0")
	startedAt := time.Now()
	e.supplier.Hurry()
	w.all(time.Second, "the configuration", hasVersion(1))
	qt.Assert(t, time.Since(startedAt) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(startedAt)))
}

func TestOfManyHostsInAHurryFewFollowTheStore(t *testing.T) {
	const hosts = 14
	w := newWorld(t, 0)
	// All hosts were there before, so each finds the others in the store.
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		w.store.Put(feed.KindMembers, id, host.Host{ID: id, Region: "region", PeerAddress: "127.0.0.1:1"})
	}
	for i := range hosts {
		w.start(fmt.Sprintf("host-%d", i)).supplier.Hurry()
	}
	w.all(2*time.Second, "the configuration", hasVersion(1))
	followed := w.followed()
	qt.Assert(t, followed <= 6, qt.IsTrue, qt.Commentf("%d hosts followed the store", followed))
}

// Were it to serve, those below it would read from it and nobody would follow the store.
func TestAHostThatHearsTheStoreThroughOneBelowItDoesNotServe(t *testing.T) {
	w := newSettled(t, 4)
	first := w.hosts[slices.IndexFunc(w.hosts, (*entryHost).followsStore)]
	first.refuse(true)
	for version := int64(2); version <= 6; version++ {
		w.configure(version)
		w.all(bound, "a configuration while the store turns the first host away", hasVersion(version))
		response, err := http.Get("http://" + first.server.Listener.Addr().String() + subscriber.Path)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}
