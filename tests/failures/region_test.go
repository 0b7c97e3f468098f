package failures_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// paymentMarker is part of every payment, so that the test can search for it outside the home region.
const paymentMarker = "mark-of-a-payment"

// Indexes of the entries in regionMix.
const (
	lookupEntry = iota
	orderEntry
	paymentEntry
)

func regionMix() []scenario.Entry {
	return []scenario.Entry{newLookupEntry(), newOrderEntry(), {
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000, Marker: paymentMarker, HomeRegions: []string{"pohja"},
	}}
}

// A whole region is taken out of service and returns with cold endpoints. Requests that may spill are served in other
// regions, requests bound to the region are answered as not run and do not leave it, and the returning endpoints get no
// more requests than their cold limit.
func TestRegionOutAndBack(t *testing.T) {
	d := threeRegionDeployment()
	running := startFleet(t, d.WithServices(append(d.Services, deployment.Service{Name: "grant_payments", Servers: 6})...),
		fleet.WithEntries(6), fleet.WithEndpointProcessPerZone(), withColdEndpoints(),
		fleet.WithEndpointArguments("--start-warm", "--record"), fleet.WithEntryArguments("--log-level", "debug"))
	l := startLoad(t, running, 300, running.EntryAddresses(), regionMix()...)
	l.awaitServed(t, 300)
	from := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-a"), qt.IsNil)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	out := time.Now()
	waitDuration(t, zoneOutTarget)
	checkRefusedPayments(t, running)
	checkZonesGetNoNewWork(t, running, out, "pohja-a", "pohja-b")
	restartZone(t, running, "pohja-a")
	restartZone(t, running, "pohja-b")
	back := time.Now()
	qt.Assert(t, running.ZoneIn(t.Context(), "pohja-a"), qt.IsNil)
	qt.Assert(t, running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
	waitDuration(t, reactionTime+serviceWindow)
	to := time.Now()
	f := l.end(t)
	f.checkInvariants(t)
	checkColdEndpoints(t, running)
	checkMarkersStayInHomeRegion(t, running, paymentMarker)
	regionEndpoints := endpointIDsInZones(running, "pohja-a", "pohja-b")
	qt.Check(t, f.countExecutions(regionEndpoints, out.Add(reactionTime), back), qt.Equals, 0)
	qt.Check(t, f.countExecutions(regionEndpoints, back, to) > 0, qt.IsTrue, qt.Commentf("the returned region got no requests"))
	f.ofMixEntries(lookupEntry, orderEntry).checkWindows(t, from, to)
	payments := f.ofMixEntries(paymentEntry)
	payments.checkWindows(t, back.Add(reactionTime), to)
	refused := payments.scheduledBetween(out.Add(zoneOutTarget), back)
	t.Logf("%d payments while the region was out of service", len(refused.outcomes))
	qt.Check(t, len(refused.outcomes) > 0, qt.IsTrue)
	qt.Check(t, refused.countOutcomes(outcome.NotRun), qt.Equals, len(refused.outcomes))
}

// checkRefusedPayments checks that every entry host answers a payment as not run, with the reason.
func checkRefusedPayments(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	for _, address := range running.EntryAddresses() {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/payments", strings.NewReader(paymentMarker))
		qt.Assert(t, err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		var refusal struct {
			Outcome string `json:"outcome"`
			Detail  string `json:"detail"`
		}
		qt.Check(t, json.NewDecoder(response.Body).Decode(&refusal), qt.IsNil)
		_ = response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, refusal.Outcome, qt.Equals, string(outcome.NotRun))
		qt.Check(t, refusal.Detail, qt.Equals, "operators have taken out every availability zone that may serve the request")
	}
}
