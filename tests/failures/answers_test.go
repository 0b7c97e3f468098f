package failures_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// silentRecoveryTime is the time after which no request may fail because of a silent connection.
const silentRecoveryTime = 2 * time.Second

// Each caller gets the complete answer to its own request or a visible failure, while endpoints truncate answers,
// send a wrong length, send an unsolicited second answer, close connections abruptly and are slow enough for hedges.
func TestAnswersAreCompleteOrFailVisibly(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(3),
		fleet.WithEndpointArguments("--spell-factor", "10", "--spell-interval-ms", "200"))
	large := newLookupEntry()
	large.AnswerBytes = 100 << 10
	l := startLoad(t, running, 250, running.EntryAddresses(), newLookupEntry(), large, newOrderEntry())
	l.awaitServed(t, 100)
	faults := []endpointFaults{
		{Truncate: new(true)}, {WrongLength: new(true)}, {Surplus: new(true)}, {Abrupt: new(true)},
	}
	none := endpointFaults{Truncate: new(false), WrongLength: new(false), Surplus: new(false), Abrupt: new(false)}
	for _, fault := range faults {
		for _, endpoint := range running.Endpoints()[:3] {
			setEndpointFaults(t, running, endpoint, fault)
		}
		l.awaitCompleted(t, 250)
		qt.Assert(t, running.ControlEndpoints(t.Context(), none), qt.IsNil)
	}
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.ExtraExecutions > 0, qt.IsTrue, qt.Commentf("no hedge and no retry was sent"))
	qt.Check(t, f.countOutcomes(outcome.Served)*10 > len(f.outcomes)*9, qt.IsTrue)
}

// Connections that stay silent forever are abandoned within silentRecoveryTime while new ones work, and the connections
// of all entry hosts together to one endpoint stay within its limit.
func TestSilentConnectionsAreAbandoned(t *testing.T) {
	d := oneRegionDeployment(deployment.Service{Name: "stock_availability", Servers: 4}, deployment.Service{Name: "allocation", Servers: 4})
	running := startFleet(t, d, fleet.WithEntries(4))
	l := startLoad(t, running, 60, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 100)
	silencedAt := time.Now()
	qt.Assert(t, running.ControlEndpoints(t.Context(), endpointFaults{ForgetConnections: true}), qt.IsNil)
	waitDuration(t, reactionTime)
	l.awaitServed(t, 100)
	f := l.end(t)
	f.checkInvariants(t)
	after := f.scheduledBetween(silencedAt.Add(silentRecoveryTime), time.Now())
	t.Logf("scheduled more than %v after the fault: not served %v, p99 %v; peak connections to one endpoint %d", silentRecoveryTime, after.unservedReasons(), after.p99(), f.peakConnections)
	qt.Check(t, after.countOutcomes(outcome.Served), qt.Equals, len(after.outcomes))
	qt.Check(t, f.peakConnections <= int64(d.Connections), qt.IsTrue)
}
