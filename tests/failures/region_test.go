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

// paymentMark is sent along with every payment, to be searched for where it must not be.
const paymentMark = "mark-of-a-payment"

// Places of the entries in regionMix.
const (
	lookupEntry = iota
	orderEntry
	paymentEntry
)

func regionMix() []scenario.Entry {
	return []scenario.Entry{lookups(), orders(), {
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000, Marker: paymentMark, HomeRegions: []string{"pohja"},
	}}
}

// A whole region leaves and returns cold: what may spill is served elsewhere, what is bound to the region is told
// as not run and reaches nothing outside it, and the returning endpoints get no more than they bear.
func TestRegionOutAndBack(t *testing.T) {
	d := regions()
	running := start(t, d.WithServices(append(d.Services, deployment.Service{Name: "grant_payments", Servers: 6})...),
		fleet.WithEntries(6), fleet.WithEndpointProcessPerZone(), coldEndpoints(),
		fleet.WithEndpointArguments("--start-warm", "--record"), fleet.WithEntryArguments("--log-level", "debug"))
	l := offer(t, running, 300, running.EntryAddresses(), regionMix()...)
	l.awaitServed(t, 300)
	from := time.Now()
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-a"), qt.IsNil)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	out := time.Now()
	pass(t, zoneAim)
	checkRefusedPayments(t, running)
	checkOut(t, running, out, "pohja-a", "pohja-b")
	restartZone(t, running, "pohja-a")
	restartZone(t, running, "pohja-b")
	back := time.Now()
	qt.Assert(t, running.ZoneIn(t.Context(), "pohja-a"), qt.IsNil)
	qt.Assert(t, running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
	pass(t, few+window)
	to := time.Now()
	f := l.end(t)
	f.assertTrue(t)
	checkCold(t, running)
	checkMarks(t, running, paymentMark)
	region := idsInZone(running, "pohja-a", "pohja-b")
	qt.Check(t, f.startedAt(region, out.Add(few), back), qt.Equals, 0)
	qt.Check(t, f.startedAt(region, back, to) > 0, qt.IsTrue, qt.Commentf("the region got no work again"))
	f.ofEntries(lookupEntry, orderEntry).checkWindows(t, from, to)
	paid := f.ofEntries(paymentEntry)
	paid.checkWindows(t, back.Add(few), to)
	refused := paid.between(out.Add(zoneAim), back)
	t.Logf("%d payments while the region was out", len(refused.outcomes))
	qt.Check(t, len(refused.outcomes) > 0, qt.IsTrue)
	qt.Check(t, refused.count(outcome.NotRun), qt.Equals, len(refused.outcomes))
}

// checkRefusedPayments checks that every entry host tells why it does not run a payment.
func checkRefusedPayments(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	for _, address := range running.EntryAddresses() {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/payments", strings.NewReader(paymentMark))
		qt.Assert(t, err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		var told struct {
			Outcome string `json:"outcome"`
			Detail  string `json:"detail"`
		}
		qt.Check(t, json.NewDecoder(response.Body).Decode(&told), qt.IsNil)
		_ = response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, told.Outcome, qt.Equals, string(outcome.NotRun))
		qt.Check(t, told.Detail, qt.Equals, "operators have taken out every availability zone that may serve the request")
	}
}
