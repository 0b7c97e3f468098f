package failures_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// Orders run at most once, and an order reported as not run was not run, while entry hosts are killed and frozen and
// endpoints close connections abruptly, stop answering, truncate answers and restart.
func TestOrdersRunAtMostOnce(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 6}), fleet.WithEntries(5))
	entries := running.Entries()
	endpoints := running.Endpoints()
	l := startLoad(t, running, 200, running.EntryAddresses(), newOrderEntry())
	l.awaitServed(t, 100)
	for _, faults := range []endpointFaults{
		{Abrupt: new(true)}, {Silent: new(true)}, {Truncate: new(true)}, {ForgetConnections: true}, {Restart: true},
	} {
		for _, endpoint := range endpoints[:3] {
			setEndpointFaults(t, running, endpoint, faults)
		}
		l.awaitCompleted(t, 100)
		qt.Assert(t, running.ControlEndpoints(t.Context(), endpointFaults{Abrupt: new(false), Silent: new(false), Truncate: new(false)}), qt.IsNil)
	}
	qt.Assert(t, running.Freeze(entries[1].ID), qt.IsNil)
	qt.Assert(t, running.Kill(entries[0].ID), qt.IsNil)
	l.awaitServed(t, 200)
	qt.Assert(t, running.Thaw(entries[1].ID), qt.IsNil)
	l.awaitServed(t, 200)
	from := time.Now()
	l.awaitServed(t, 100)
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.scheduledBetween(from, time.Now()).countOutcomes(outcome.Served) > 0, qt.IsTrue)
}
