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
	// zoneOutTarget is the time after acceptance after which a zone out of service should get no new requests.
	zoneOutTarget = 2 * time.Second
	// maxUnservedShare is the largest share of the requests of one window that may go unserved.
	maxUnservedShare = 0.02
	// maxWindowP99 limits the 99th percentile of a window; it is the larger latency target of the two classes.
	maxWindowP99 = 200 * time.Millisecond
)

// threeRegionDeployment returns a small deployment in three regions with two availability zones each.
func threeRegionDeployment() deployment.Deployment {
	return deployment.Kite().WithServices(
		deployment.Service{Name: "stock_availability", Servers: 12}, deployment.Service{Name: "allocation", Servers: 6})
}

func zoneMix() []scenario.Entry {
	return []scenario.Entry{newLookupEntry(), newOrderEntry()}
}

// checkZonesGetNoNewWork waits until zones have been out of service for longer than reactionTime, and checks that no
// execution began there more than reactionTime after the change was accepted.
func checkZonesGetNoNewWork(t *testing.T, running *fleet.Fleet, accepted time.Time, zones ...string) {
	t.Helper()
	waitDuration(t, time.Until(accepted.Add(reactionTime+serviceWindow)))
	records, err := running.EndpointRecords(t.Context())
	qt.Assert(t, err, qt.IsNil)
	f := loadResult{executions: records.Executions}
	ids := endpointIDsInZones(running, zones...)
	t.Logf("%v: %d executions began later than the target of %v", zones, f.countExecutions(ids, accepted.Add(zoneOutTarget), time.Now()), zoneOutTarget)
	qt.Check(t, f.countExecutions(ids, accepted.Add(reactionTime), time.Now()), qt.Equals, 0)
	qt.Check(t, f.countExecutions(ids, time.Time{}, accepted) > 0, qt.IsTrue, qt.Commentf("the zones got no requests before"))
}

// Two zones that are taken out of service get no new requests through any host, even if the store fails right after it
// accepted the changes.
func TestZonesOutGetNoNewWorkWhileStoreIsDown(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(6))
	l := startLoad(t, running, 300, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	accepted := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-a"), qt.IsNil)
	setPlatformFaults(t, running, platformFaults{Down: new(true)})
	checkZonesGetNoNewWork(t, running, accepted, "pohja-b", "louna-a")
	l.end(t).checkInvariants(t)
}

// A host that reaches its peers but not the store also learns that a zone was taken out of service.
func TestZoneOutReachesHostCutOffFromStore(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(3))
	store, err := running.StartRelay(t.Context(), "store-link", running.PlatformAddress())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, running.StartEntry(t.Context(), running.Deployment().Entry(3), "--store-url", "http://"+store.Address()), qt.IsNil)
	qt.Assert(t, running.WaitReady(t.Context()), qt.IsNil)
	l := startLoad(t, running, 200, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	qt.Assert(t, store.Set(t.Context(), link.Faults{CutToTarget: true, CutFromTarget: true, Refuse: true}), qt.IsNil)
	accepted := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	checkZonesGetNoNewWork(t, running, accepted, "pohja-b")
	l.end(t).checkInvariants(t)
}

// While a zone is taken out of service and returns with cold endpoints, the share of unserved requests and the latency
// stay within their limits in every window.
func TestServiceContinuesWhileZoneLeavesAndReturns(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(6), withColdEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	l := startLoad(t, running, 300, running.EntryAddresses(), zoneMix()...)
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
	f.checkInvariants(t)
	qt.Check(t, f.overloadRestarts, qt.Equals, int64(0))
	qt.Check(t, f.countExecutions(endpointIDsInZones(running, "pohja-b"), back, time.Now()) > 0, qt.IsTrue, qt.Commentf("the returned zone got no requests"))
	f.checkWindows(t, from, to)
}
