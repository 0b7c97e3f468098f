package failures_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/link"
)

const (
	// zoneAim is how soon after acceptance a zone is meant to get no new work.
	zoneAim = 2 * time.Second
	// dipRefusals is the most requests of one window that may go unserved.
	dipRefusals = 0.02
	// dipLatency bounds the 99th percentile of a window, the larger latency target of the two classes.
	dipLatency = 200 * time.Millisecond
)

// regions is a small deployment in three regions of two availability zones.
func regions() deployment.Deployment {
	return deployment.Kite().WithServices(
		deployment.Service{Name: "stock_availability", Servers: 12}, deployment.Service{Name: "allocation", Servers: 6})
}

func zoneMix() []scenario.Entry {
	return []scenario.Entry{lookups(), orders()}
}

// checkOut waits until a zone was out for longer than a few seconds and checks that nothing began there late.
func checkOut(t *testing.T, running *fleet.Fleet, accepted time.Time, zones ...string) {
	t.Helper()
	pass(t, time.Until(accepted.Add(few+window)))
	records, err := running.Ledger(t.Context())
	qt.Assert(t, err, qt.IsNil)
	f := finished{executions: records.Executions}
	ids := idsInZone(running, zones...)
	t.Logf("%v: %d executions began later than the aim of %v", zones, f.startedAt(ids, accepted.Add(zoneAim), time.Now()), zoneAim)
	qt.Check(t, f.startedAt(ids, accepted.Add(few), time.Now()), qt.Equals, 0)
	qt.Check(t, f.startedAt(ids, time.Time{}, accepted) > 0, qt.IsTrue, qt.Commentf("no work in the zones before"))
}

// Two zones go out at once, with the store out right after acceptance, and get no new work through any host.
func TestZonesOutGetNoNewWorkWhileTheStoreIsOut(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(6))
	l := offer(t, running, 300, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	accepted := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-a"), qt.IsNil)
	controlPlatform(t, running, platformFaults{Down: new(true)})
	checkOut(t, running, accepted, "pohja-b", "louna-a")
	l.end(t).assertTrue(t)
}

// A host that reaches its peers and not the store learns of a zone that went out, too.
func TestZoneOutReachesAHostCutOffFromTheStore(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(3))
	store, err := running.StartRelay(t.Context(), "store-link", running.PlatformAddress())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, running.StartEntry(t.Context(), running.Deployment().Entry(3), "--store-url", "http://"+store.Address()), qt.IsNil)
	qt.Assert(t, running.WaitReady(t.Context()), qt.IsNil)
	l := offer(t, running, 200, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	qt.Assert(t, store.Set(t.Context(), link.Faults{CutToTarget: true, CutFromTarget: true, Refuse: true}), qt.IsNil)
	accepted := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	checkOut(t, running, accepted, "pohja-b")
	l.end(t).assertTrue(t)
}

// A zone leaves and returns cold without a dip in service.
func TestZoneOutAndBackWithoutADip(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(6), coldEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	l := offer(t, running, 300, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 300)
	from := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	l.awaitServed(t, 600)
	restartZone(t, running, "pohja-b")
	back := time.Now()
	qt.Assert(t, running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
	l.awaitServed(t, 1200)
	to := time.Now()
	f := l.end(t)
	f.assertTrue(t)
	qt.Check(t, f.fellOver, qt.Equals, int64(0))
	qt.Check(t, f.startedAt(idsInZone(running, "pohja-b"), back, time.Now()) > 0, qt.IsTrue, qt.Commentf("the zone got no work again"))
	f.checkWindows(t, from, to)
}
