package supplier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

func TestChangesReachEveryHostAndCallsDoNotGrowWithHostCount(t *testing.T) {
	w := newSingleSource(t, 8)
	calls := w.changeFiveTimes()
	qt.Assert(t, calls <= 12, qt.IsTrue, qt.Commentf("%d calls for 5 changes at 8 hosts", calls))
	for _, e := range w.hosts {
		qt.Assert(t, e.version(), qt.Equals, int64(6))
	}
}

func TestChangeIsKnownInTimeWhenAnyHostStops(t *testing.T) {
	newSingleSource(t, 4).stopOneByOne()
}

func TestChangeIsKnownInTimeWhenWatchesReturnNothing(t *testing.T) {
	w := newCluster(t, 3)
	w.awaitAll(10*time.Second, "hosts are up to date", (*entryHost).isUpToDate)
	w.store.SetWatchesSilent(true)
	w.configure(2)
	w.store.TakeZoneOut("zone-1")
	w.awaitAll(bound, "a zone out while watches return nothing", func(e *entryHost) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.zonesOut == 1
	})
	w.store.DropHistory()
	w.awaitAll(bound+time.Second, "a configuration that no watch returned", hasVersion(2))
}

func TestStoreIsFollowedAgainAfterOutage(t *testing.T) {
	w := newCluster(t, 3)
	w.awaitAll(10*time.Second, "hosts are up to date", (*entryHost).isUpToDate)
	w.store.SetDown(true)
	w.awaitAll(5*time.Second, "the loss of the store is noticed", func(e *entryHost) bool { return !e.isUpToDate() })
	w.configure(2)
	w.store.SetDown(false)
	w.awaitAll(bound, "a configuration from during the outage", hasVersion(2))
}

func TestEveryHostStartsGracePeriodAfterOutage(t *testing.T) {
	w := newSingleSource(t, 3)
	w.simulateOutage(2)
	w.awaitAll(bound, "every host starts a grace period for expired entries", (*entryHost).hadGracePeriod)
}

// Entries that vanish while a host has lost only its source have been removed from the store: a grace period would keep
// such endpoints in use for too long.
func TestLossOfSourceStartsNoGracePeriod(t *testing.T) {
	w := newSingleSource(t, 4)
	w.stopOneByOne()
	qt.Assert(t, w.hosts[0].hadGracePeriod(), qt.IsFalse)
}

func TestHostsRefusedByStoreReadFromOtherHosts(t *testing.T) {
	w := newSingleSource(t, 3)
	version := int64(1)
	for _, refused := range w.hosts {
		refused.setRefused(true)
		version++
		w.configure(version)
		w.awaitAll(bound, "a configuration while the requests of "+refused.id+" are refused", hasVersion(version))
		refused.setRefused(false)
		version++
		w.configure(version)
		w.awaitAll(bound, "a configuration after that", hasVersion(version))
	}
}

func TestHostStartingDuringOutageReadsFromSeed(t *testing.T) {
	w := newCluster(t, 3)
	w.configure(2)
	w.awaitAll(10*time.Second, "hosts are up to date", hasVersion(2))
	w.store.SetDown(true)
	late := w.start("host-late", "127.0.0.1:1", w.hosts[1].server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, bound, "the host has the configuration of the other hosts", func() bool { return late.version() == 2 })
	w.configure(3)
	w.store.SetDown(false)
	w.awaitAll(bound, "a configuration from during the outage", hasVersion(3))
}
