package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
)

// faultsAtOnce is the largest number of faults that run at the same time.
const faultsAtOnce = 3

// previouslyFailedSeeds are run every time.
var previouslyFailedSeeds = []uint64{
	// In one run of this seed an entry host was not ready 20 s after its start. Its log was not kept, later runs of the
	// seed have passed, and the cause is unknown. An outgoing connection that uses the entry host's port would have
	// this effect; freePorts therefore chooses ports outside the range of outgoing connections.
	2000,
	// The first request of a new class at a host was refused at once although an endpoint was only busy, because of a
	// guess of its service time.
	1796405904650222235,
	1796405904650222236,
	1796405904650222239,
}

// TestSoak runs one fixed seed and the seeds that failed before. If SOAK_SEEDS is set, it runs that many other seeds in
// place of the fixed one: consecutive ones from SOAK_FIRST, or from the current time if that is not set.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{1}, previouslyFailedSeeds...)
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		first := uint64(time.Now().UnixNano())
		if given, err := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
			first = given
		}
		seeds = slices.Clone(previouslyFailedSeeds)
		for i := range n {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func faultPhaseDuration() time.Duration {
	if s, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		return time.Duration(s) * time.Second
	}
	return 12 * time.Second
}

// runSeed runs one seed: overlapping random faults first, then a time without faults, then the checks.
func runSeed(t *testing.T, seed uint64) {
	env := newEnvironment(t)
	random := rand.New(rand.NewPCG(seed, 0))
	c := startCallers(env, seed)
	type activeFault struct {
		end   func()
		endAt time.Time
	}
	var active []activeFault
	for until := time.Now().Add(faultPhaseDuration()); time.Now().Before(until); {
		if len(active) == faultsAtOnce || len(active) > 0 && random.IntN(3) == 0 {
			env.waitDuration(time.Until(active[0].endAt))
			active[0].end()
			active = active[1:]
			continue
		}
		description, end := pickRandom(random, faults)(env, random)
		t.Logf("%s %s", time.Now().Format("05.000"), description)
		active = append(active, activeFault{end: end, endAt: time.Now().Add(drawFaultDuration(random))})
		env.waitDuration(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	for _, f := range active {
		f.end()
	}
	env.checkAfterFaults(c)
	env.checkRequests(c.end())
	env.checkProcesses()
}

// checkAfterFaults waits until the time bounds apply again, and checks that every entry host follows the store:
// endpoints that are leaving or in a zone out of service get no requests, and the newest configuration is served.
func (env *environment) checkAfterFaults(c *callers) {
	env.waitDuration(stableTime)
	drained, out := env.endpoints[0], zoneName(zoneCount-1)
	env.listEndpoint(drained, host.StateLeaving)
	env.store.TakeZoneOut(out)
	env.waitDuration(zoneOutBound)
	env.checkUnused(func(e *endpoint) bool { return e == drained || e.zone == out })
	for _, e := range env.entries {
		request, err := http.NewRequest(http.MethodGet, "http://"+e.settings.Listen+fmt.Sprintf("/version-%d/1", env.configurationVersion), http.NoBody)
		qt.Assert(env.t, err, qt.IsNil)
		request.Host = shopHost
		request.Header.Set("Request-Id", "newest-"+e.settings.HostID)
		request.Header.Set("Deadline-Ms", "1500")
		response, err := c.client.Do(request)
		if !qt.Check(env.t, err, qt.IsNil, qt.Commentf("%s after the faults", e.settings.HostID)) {
			continue
		}
		response.Body.Close()
		qt.Check(env.t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("version %d at %s", env.configurationVersion, e.settings.HostID))
	}
}

// waitDuration waits for a time that the scenario defines: between two faults, or while a change may not have reached
// all entry hosts yet.
func (env *environment) waitDuration(d time.Duration) {
	qt.Assert(env.t, pauser.Pause(env.ctx, max(d, 0)), qt.IsNil)
}

// checkUnused checks that the excluded endpoints get no requests while the callers use the other endpoints.
func (env *environment) checkUnused(isExcluded func(e *endpoint) bool) {
	before := make(map[*endpoint]int)
	for _, e := range env.endpoints {
		before[e] = len(e.Runs())
	}
	since := func(e *endpoint) int { return len(e.Runs()) - before[e] }
	awaiter.New(10*time.Millisecond).Await(env.t, 20*time.Second, "the other endpoints get requests", func() bool {
		used := 0
		for _, e := range env.endpoints {
			if !isExcluded(e) {
				used += since(e)
			}
		}
		return used >= minOtherRequests
	})
	for _, e := range env.endpoints {
		if isExcluded(e) {
			qt.Check(env.t, since(e), qt.Equals, 0, qt.Commentf("requests at %s, which is leaving or out of service", e.ID))
		}
	}
}

// minOtherRequests is how many requests the other endpoints must get while the excluded ones get none. The callers send
// this many in about a second.
const minOtherRequests = 400

// checkRequests compares the results of the callers with the requests that the endpoints ran.
func (env *environment) checkRequests(results []callResult) {
	runs := make(map[string]int)
	for _, e := range env.endpoints {
		for _, r := range e.Runs() {
			runs[r.RequestID]++
		}
	}
	served := 0
	known := make(map[string]bool)
	for _, result := range results {
		known[result.id] = true
		n := runs[result.id]
		if result.status == http.StatusOK {
			served++
			qt.Check(env.t, n > 0, qt.IsTrue, qt.Commentf("%s was answered but never ran", result.id))
		}
		qt.Check(env.t, result.problem, qt.Equals, "", qt.Commentf("%s", result.id))
		if !result.isOrder {
			continue
		}
		qt.Check(env.t, n <= 1, qt.IsTrue, qt.Commentf("order %s ran %d times", result.id, n))
		if result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests {
			qt.Check(env.t, n, qt.Equals, 0, qt.Commentf("order %s was refused as not run, but ran", result.id))
		}
	}
	env.t.Logf("%d of %d requests served", served, len(results))
	qt.Check(env.t, served*2 > len(results), qt.IsTrue, qt.Commentf("%d of %d requests served", served, len(results)))
}

// checkProcesses checks that no entry host ended by itself.
func (env *environment) checkProcesses() {
	for _, e := range env.entries {
		if e.hasEnded() {
			env.t.Errorf("%s ended by itself", e.settings.HostID)
		}
	}
}

// keepLogs copies the logs of a failed seed to a temporary folder that is not removed after the test.
func (env *environment) keepLogs() {
	folder, err := os.MkdirTemp("", "poplarhook-soak-")
	if err != nil {
		env.t.Logf("logs could not be copied: %v", err)
		return
	}
	if err := os.CopyFS(folder, os.DirFS(env.folder)); err != nil {
		env.t.Logf("logs could not be copied: %v", err)
		return
	}
	env.t.Logf("logs are kept in %s", folder)
}
