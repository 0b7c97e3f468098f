package failures_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/loan"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

func payments() scenario.Entry {
	return scenario.Entry{
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000, HomeRegions: []string{"pohja"},
	}
}

// Entry hosts of other regions use their share of a home region's endpoints in spite of the distance: two endpoints of
// four slots and 4 ms of work answer 2000 requests a second, of which a sixth is asked for.
func TestHomeBoundRequestsFromAfarAreServed(t *testing.T) {
	const latencyTarget = 300 * time.Millisecond
	running := start(t, deployment.Kite().WithServices(deployment.Service{Name: "grant_payments", Servers: 6}),
		fleet.WithEntries(6), fleet.WithDistance(12*time.Millisecond))
	var far []string
	for _, entry := range running.Entries() {
		if entry.Region != "pohja" {
			far = append(far, entry.Address)
		}
	}
	l := offer(t, running, 330, far, payments())
	// By then the endpoints are warm.
	l.awaitSeen(t, 660)
	settled := time.Now()
	l.awaitSeen(t, 1000)
	showLending(t, running)
	f := l.end(t)
	f.assertTrue(t)
	f = f.between(settled, time.Now())
	t.Logf("once settled: %d of %d served, p99 %v", f.count(outcome.Served), len(f.outcomes), f.p99())
	qt.Check(t, f.count(outcome.Served), qt.Equals, len(f.outcomes))
	qt.Check(t, f.p99() <= latencyTarget, qt.IsTrue)
}

// showLending logs how much of each endpoint in the home region is lent, and how many requests wait for that.
func showLending(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	lent, limits, waiting := make(map[string]int), make(map[string]int), 0
	for _, entry := range running.Entries() {
		var dumped struct {
			Groups []struct {
				Group   string      `json:"group"`
				Waiting int         `json:"waiting"`
				Loans   []loan.Loan `json:"loans"`
			} `json:"groups"`
		}
		qt.Assert(t, running.State(t.Context(), entry.ID, &dumped), qt.IsNil)
		for _, g := range dumped.Groups {
			if g.Group != "grant_payments@pohja" {
				continue
			}
			waiting += g.Waiting
			for _, l := range g.Loans {
				lent[l.Endpoint] += l.Count
				limits[l.Endpoint] = l.Limit
			}
		}
	}
	t.Logf("lent %v of %v, %d requests wait", lent, limits, waiting)
}
