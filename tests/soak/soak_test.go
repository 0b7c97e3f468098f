package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
)

// faultsAtOnce bounds how many faults overlap.
const faultsAtOnce = 3

// seedsThatFailed are played in every run.
var seedsThatFailed = []uint64{
	// One gateway was not ready 20 s after its start, once; its log was not kept and the seed passes since. Open; a port
	// that an outgoing connection had taken would look like that, and ports are chosen otherwise now.
	2000,
}

// TestSoak plays seeds that failed before, one fixed seed, and as many fresh ones as SOAK_SEEDS says.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{1}, seedsThatFailed...)
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		first := uint64(time.Now().UnixNano())
		if given, err := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
			first = given
		}
		seeds = nil
		for i := range n {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

func duration() time.Duration {
	if s, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		return time.Duration(s) * time.Second
	}
	return 12 * time.Second
}

// play runs one seed: faults in series that overlap, then calm, then the checks.
func play(t *testing.T, seed uint64) {
	w := newWorld(t)
	random := rand.New(rand.NewPCG(seed, 0))
	c := startCallers(w, seed)
	type running struct {
		end func()
		at  time.Time
	}
	var open []running
	for until := time.Now().Add(duration()); time.Now().Before(until); {
		if len(open) == faultsAtOnce || len(open) > 0 && random.IntN(3) == 0 {
			w.pass(time.Until(open[0].at))
			open[0].end()
			open = open[1:]
			continue
		}
		what, end := draw(random, faults)(w, random)
		t.Logf("%s %s", time.Now().Format("05.000"), what)
		open = append(open, running{end: end, at: time.Now().Add(length(random))})
		w.pass(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	for _, o := range open {
		o.end()
	}
	w.checkCalm(c)
	w.checkRequests(c.end())
	w.checkProcesses()
}

// checkCalm waits for the bounds to hold and checks that every host keeps to what the store holds.
func (w *world) checkCalm(c *callers) {
	w.pass(stable)
	drained, out := w.endpoints[0], zoneName(zones-1)
	w.list(drained, host.StateLeaving)
	w.store.TakeZoneOut(out)
	w.pass(zoneOutBound)
	w.checkUnused(func(e *endpoint) bool { return e == drained || e.zone == out })
	for _, e := range w.entries {
		request, err := http.NewRequest(http.MethodGet, "http://"+e.settings.Listen+fmt.Sprintf("/version-%d/1", w.version), http.NoBody)
		qt.Assert(w.t, err, qt.IsNil)
		request.Host = shop
		request.Header.Set("Request-Id", "newest-"+e.settings.HostID)
		request.Header.Set("Deadline-Ms", "1500")
		response, err := c.client.Do(request)
		if !qt.Check(w.t, err, qt.IsNil, qt.Commentf("%s after the faults", e.settings.HostID)) {
			continue
		}
		response.Body.Close()
		qt.Check(w.t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("version %d at %s", w.version, e.settings.HostID))
	}
}

// pass lets time go by that the scenario states: the pauses between its faults, and bounds within which a change may
// still be on its way.
func (w *world) pass(d time.Duration) {
	qt.Assert(w.t, pauser.Pause(w.ctx, max(d, 0)), qt.IsNil)
}

// checkUnused sees that the endpoints get nothing for a while, which callers go on calling.
func (w *world) checkUnused(among func(e *endpoint) bool) {
	before := make(map[*endpoint]int)
	for _, e := range w.endpoints {
		before[e] = len(e.Runs())
	}
	since := func(e *endpoint) int { return len(e.Runs()) - before[e] }
	awaiter.New(10*time.Millisecond).Await(w.t, 20*time.Second, "the others are used", func() bool {
		used := 0
		for _, e := range w.endpoints {
			if !among(e) {
				used += since(e)
			}
		}
		return used >= unusedAmong
	})
	for _, e := range w.endpoints {
		if among(e) {
			qt.Check(w.t, since(e), qt.Equals, 0, qt.Commentf("requests at %s, which is leaving or out", e.ID))
		}
	}
}

// unusedAmong is how many requests others get while an endpoint must get none: some second's worth of the callers.
const unusedAmong = 400

// checkRequests holds what callers saw against what endpoints ran.
func (w *world) checkRequests(all []seen) {
	runs := make(map[string]int)
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			runs[r.RequestID]++
		}
	}
	served := 0
	known := make(map[string]bool)
	for _, one := range all {
		known[one.id] = true
		n := runs[one.id]
		if one.status == http.StatusOK {
			served++
			qt.Check(w.t, n > 0, qt.IsTrue, qt.Commentf("%s was answered and never ran", one.id))
		}
		qt.Check(w.t, one.broken, qt.Equals, "", qt.Commentf("%s", one.id))
		if !one.order {
			continue
		}
		qt.Check(w.t, n <= 1, qt.IsTrue, qt.Commentf("order %s ran %d times", one.id, n))
		if one.status == http.StatusServiceUnavailable || one.status == http.StatusTooManyRequests {
			qt.Check(w.t, n, qt.Equals, 0, qt.Commentf("order %s was refused as not run", one.id))
		}
	}
	w.t.Logf("%d of %d requests served", served, len(all))
	qt.Check(w.t, served*2 > len(all), qt.IsTrue, qt.Commentf("%d of %d requests served", served, len(all)))
}

// checkProcesses sees that no gateway ended by itself.
func (w *world) checkProcesses() {
	for _, e := range w.entries {
		if e.hasEnded() {
			w.t.Errorf("%s ended by itself", e.settings.HostID)
		}
	}
}

// keepLogs copies the logs of a seed that failed to a folder that outlasts the test.
func (w *world) keepLogs() {
	folder, err := os.MkdirTemp("", "poplarhook-soak-")
	if err != nil {
		w.t.Logf("logs could not be kept: %v", err)
		return
	}
	if err := os.CopyFS(folder, os.DirFS(w.folder)); err != nil {
		w.t.Logf("logs could not be kept: %v", err)
		return
	}
	w.t.Logf("logs are kept in %s", folder)
}
