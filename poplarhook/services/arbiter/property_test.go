package arbiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	threeHosts   = []string{"e0", "e1", "e2"}
	twoEndpoints = []string{"a", "b"}
	// timeSteps range from zero to long enough for all requests at cold endpoints to end.
	timeSteps = []time.Duration{
		0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond,
		3 * time.Second,
	}
)

// maxPerSlot is the maximum number of requests in flight per slot of a warm endpoint, including those for
// which the lender exceeds the usual limit because their demands have waited for a long time.
const maxPerSlot = 4

// tickInterval is the time after which a host that is not paused ticks its arbiter again.
const tickInterval = 20 * time.Millisecond

// checkLoad fails when an endpoint has more requests in flight than allowed; it checks warm endpoints only if
// includeWarm is set.
func (w *simulation) checkLoad(t *rapid.T, includeWarm bool) {
	for id, e := range w.endpoints {
		inFlight := w.inFlight(id)
		switch {
		case e.isCold() && inFlight > 1:
			t.Fatalf("%d requests in flight at cold endpoint %s: %+v", inFlight, id, w.running)
		case includeWarm && inFlight > maxPerSlot*slots:
			t.Fatalf("%d requests in flight at warm endpoint %s: %+v", inFlight, id, w.running)
		}
	}
}

// runRandomEvent runs one randomly drawn event; hosts that are not paused tick while time passes.
func (w *simulation) runRandomEvent(t *rapid.T, events []string, paused bool) {
	d := rapid.SampledFrom(timeSteps).Draw(t, "pass")
	for ; !paused && d > tickInterval; d -= tickInterval {
		w.advanceClock(tickInterval)
		for _, id := range w.hosts {
			w.tickHost(id)
		}
	}
	w.advanceClock(d)
	id := rapid.SampledFrom(w.hosts).Draw(t, "host")
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "ask":
		w.submitRequest(id)
	case "finish":
		if len(w.running) > 0 {
			w.finishRequest(rapid.IntRange(0, len(w.running)-1).Draw(t, "request"))
		}
	case "tick":
		w.tickHost(id)
	case "deliver":
		w.deliverNextFrame([2]string{id, rapid.SampledFrom(w.hosts).Draw(t, "to")})
	case "settle":
		w.deliverAllFrames()
	case "restart":
		w.restartEndpoint(rapid.SampledFrom(twoEndpoints).Draw(t, "endpoint"), restartDowntime)
	case "cut", "join":
		other := rapid.SampledFrom(w.hosts).Draw(t, "other")
		if other != id {
			w.setLinkCut(id, other, !w.isCut[[2]string{id, other}])
		}
	case "owner":
		w.setOwner(id, rapid.SampledFrom(w.hosts).Draw(t, "owner"))
	}
}

var steadyEvents = []string{
	"ask", "ask", "ask", "ask", "finish", "finish", "tick", "tick", "tick",
	"deliver", "deliver", "deliver", "settle", "settle", "restart", "cut",
}

// TestEndpointsAreNotOverloaded runs with one fixed owner that all hosts agree on.
func TestEndpointsAreNotOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(threeHosts, twoEndpoints)
		for _, id := range w.hosts {
			w.setOwner(id, "e0")
		}
		for range 300 {
			w.runRandomEvent(t, steadyEvents, false)
			w.checkLoad(t, true)
		}
	})
}

// TestColdEndpointsAreNotOverloaded lets each host change its view of who the owner is at any time.
func TestColdEndpointsAreNotOverloaded(t *testing.T) {
	events := append([]string{"owner"}, steadyEvents...)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(threeHosts, twoEndpoints)
		for range 300 {
			w.runRandomEvent(t, events, true)
			w.checkLoad(t, false)
		}
	})
}
