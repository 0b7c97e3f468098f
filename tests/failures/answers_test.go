package failures_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// silentBound is how soon work meets no silent connection any more.
const silentBound = 2 * time.Second

// Callers get their own whole answer or a visible failure while endpoints answer by halves, with a wrong length,
// with one answer too many, break off and are slow enough for hedges.
func TestAnswersAreWholeOrVisiblyBroken(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(3),
		fleet.WithEndpointArguments("--spell-factor", "10", "--spell-interval-ms", "200"))
	large := lookups()
	large.AnswerBytes = 100 << 10
	l := offer(t, running, 250, running.EntryAddresses(), lookups(), large, orders())
	l.awaitServed(t, 100)
	faults := []endpointFaults{
		{Truncate: new(true)}, {WrongLength: new(true)}, {Surplus: new(true)}, {Abrupt: new(true)},
	}
	none := endpointFaults{Truncate: new(false), WrongLength: new(false), Surplus: new(false), Abrupt: new(false)}
	for _, fault := range faults {
		for _, endpoint := range running.Endpoints()[:3] {
			control(t, running, endpoint, fault)
		}
		l.awaitSeen(t, 250)
		qt.Assert(t, running.ControlEndpoints(t.Context(), none), qt.IsNil)
	}
	f := l.end(t)
	f.assertTrue(t)
	qt.Check(t, f.ExtraExecutions > 0, qt.IsTrue, qt.Commentf("no hedge and no retry"))
	qt.Check(t, f.count(outcome.Served)*10 > len(f.outcomes)*9, qt.IsTrue)
}

// Connections that fall silent for good are left within a few seconds while new ones work, and the connections to
// an endpoint over all entry hosts stay under its limit.
func TestSilentConnectionsAreLeft(t *testing.T) {
	d := pohja(deployment.Service{Name: "stock_availability", Servers: 4}, deployment.Service{Name: "allocation", Servers: 4})
	running := start(t, d, fleet.WithEntries(4))
	l := offer(t, running, 60, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	silenced := time.Now()
	qt.Assert(t, running.ControlEndpoints(t.Context(), endpointFaults{ForgetConnections: true}), qt.IsNil)
	pass(t, few)
	l.awaitServed(t, 100)
	f := l.end(t)
	f.assertTrue(t)
	after := f.between(silenced.Add(silentBound), time.Now())
	t.Logf("later than %v: not served %v, p99 %v; most connections to one endpoint %d", silentBound, after.reasons(), after.p99(), f.connections)
	qt.Check(t, after.count(outcome.Served), qt.Equals, len(after.outcomes))
	qt.Check(t, f.connections <= int64(d.Connections), qt.IsTrue)
}
