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

func newPaymentEntry() scenario.Entry {
	return scenario.Entry{
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000, HomeRegions: []string{"pohja"},
	}
}

// Entry hosts of other regions can use a home region's endpoints despite the network delay between regions. Two
// endpoints with four slots each and a service time of 4 ms can answer 2000 requests per second; the load is a sixth of
// that.
func TestHomeBoundRequestsFromOtherRegionsAreServed(t *testing.T) {
	const latencyTarget = 300 * time.Millisecond
	running := startFleet(t, deployment.Kite().WithServices(deployment.Service{Name: "grant_payments", Servers: 6}),
		fleet.WithEntries(6), fleet.WithRegionDelay(12*time.Millisecond))
	var remoteAddresses []string
	for _, entry := range running.Entries() {
		if entry.Region != "pohja" {
			remoteAddresses = append(remoteAddresses, entry.Address)
		}
	}
	l := startLoad(t, running, 330, remoteAddresses, newPaymentEntry())
	// The endpoints are warm after this number of requests.
	l.awaitCompleted(t, 660)
	warmAt := time.Now()
	l.awaitCompleted(t, 1000)
	logLending(t, running)
	f := l.end(t)
	f.checkInvariants(t)
	f = f.scheduledBetween(warmAt, time.Now())
	t.Logf("with warm endpoints: %d of %d served, p99 %v", f.countOutcomes(outcome.Served), len(f.outcomes), f.p99())
	qt.Check(t, f.countOutcomes(outcome.Served), qt.Equals, len(f.outcomes))
	qt.Check(t, f.p99() <= latencyTarget, qt.IsTrue)
}

// logLending logs how many credits of each endpoint in the home region are lent, and how many requests wait for one.
func logLending(t *testing.T, running *fleet.Fleet) {
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
	t.Logf("credits lent %v, limits %v, %d requests waiting", lent, limits, waiting)
}
