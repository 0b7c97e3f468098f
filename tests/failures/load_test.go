package failures_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/accountant"
	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/locator"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/runner"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/fleet"
)

// longest bounds a load that its test does not end.
const longest = 25 * time.Second

// window is the length of the windows in which service is judged.
const window = time.Second

// load sends requests to a fleet in the background until its test ends it.
type load struct {
	running *fleet.Fleet
	mix     []scenario.Entry
	start   time.Time
	stop    context.CancelFunc
	ended   chan []outcome.Outcome
	seen    atomic.Int64
	served  atomic.Int64
}

// caller sends one request and is not cancelled by the end of the load.
type caller struct {
	runner.Sender
	load *load
}

// Send waits for the outcome also when the load has ended.
func (c caller) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	seen := c.Sender.Send(context.WithoutCancel(ctx), arrival, start)
	c.load.seen.Add(1)
	if seen.Kind == outcome.Served {
		c.load.served.Add(1)
	}
	return seen
}

// offer starts a load of the mix at a rate per second at the addresses of some entry hosts.
func offer(t *testing.T, running *fleet.Fleet, rate float64, addresses []string, mix ...scenario.Entry) *load {
	t.Helper()
	requests := sender.New(mix, addresses, time.Now)
	t.Cleanup(requests.Close)
	return offerBy(t, running, rate, requests, len(addresses), mix...)
}

// offerBy starts a load that a sender of one's own sends.
func offerBy(t *testing.T, running *fleet.Fleet, rate float64, requests runner.Sender, targets int, mix ...scenario.Entry) *load {
	t.Helper()
	schedule, err := scheduler.New(scenario.Scenario{
		DurationMS: longest.Milliseconds(), Seed: 1, RatePerS: rate, Arrivals: scenario.Poisson, Mix: mix,
	}, targets, scheduler.RoundRobin)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{running: running, mix: mix, start: time.Now(), stop: cancel, ended: make(chan []outcome.Outcome, 1)}
	go func() { l.ended <- runner.New(schedule, caller{requests, l}, time.Now).Run(ctx) }()
	t.Cleanup(cancel)
	return l
}

// awaitServed waits until as many more requests were served.
func (l *load) awaitServed(t *testing.T, more int64) {
	t.Helper()
	target := l.served.Load() + more
	await(t, "served requests", func() bool { return l.served.Load() >= target })
}

// awaitSeen waits until as many more requests have ended in any way.
func (l *load) awaitSeen(t *testing.T, more int64) {
	t.Helper()
	target := l.seen.Load() + more
	await(t, "ended requests", func() bool { return l.seen.Load() >= target })
}

// finished is what a load has come to.
type finished struct {
	result.Account
	start      time.Time
	outcomes   []outcome.Outcome
	executions []execution.Execution
	fellOver   int64
	coldPeak   int64
	// connections is the most connections open at any one endpoint.
	connections int64
}

// end ends the load, waits for its last outcome and compares it with the endpoints' records.
func (l *load) end(t *testing.T) finished {
	t.Helper()
	l.stop()
	outcomes := <-l.ended
	records, err := l.running.Ledger(t.Context())
	qt.Assert(t, err, qt.IsNil)
	f := finished{
		start: l.start, outcomes: outcomes, executions: records.Executions,
		fellOver: records.FellOver, coldPeak: records.ColdPeakInFlight, connections: records.ConnectionsPeak,
	}
	regions := accountant.WithRegions(locator.New(l.running.Endpoints()))
	for _, a := range accountant.New(l.mix, regions).Accounts(outcomes, records.Executions) {
		f.Account = f.Plus(a)
	}
	unknown := f.count(outcome.Unknown, outcome.Broken) - f.reasons()["broken: connection refused"]
	t.Logf("sent %d: served %d, unknown to the caller %d (%.1f per thousand); not served: %v", len(outcomes),
		f.count(outcome.Served), unknown, 1000*float64(unknown)/float64(max(len(outcomes), 1)), f.reasons())
	return f
}

// assertTrue checks what must hold whatever fails.
func (f finished) assertTrue(t *testing.T) {
	t.Helper()
	qt.Check(t, f.Doubled, qt.Equals, int64(0))
	qt.Check(t, f.FalseNotRun, qt.Equals, int64(0))
	qt.Check(t, f.Lost, qt.Equals, int64(0))
	qt.Check(t, f.ServedAgainstClass, qt.Equals, int64(0))
	qt.Check(t, f.count(outcome.WrongAnswer), qt.Equals, 0)
}

// count returns how many requests ended in one of the kinds.
func (f finished) count(kinds ...outcome.Kind) int {
	count := 0
	for _, o := range f.outcomes {
		for _, kind := range kinds {
			if o.Kind == kind {
				count++
			}
		}
	}
	return count
}

// reasons counts why requests were not served.
func (f finished) reasons() map[string]int {
	reasons := make(map[string]int)
	for _, o := range f.outcomes {
		if o.Kind != outcome.Served {
			reasons[string(o.Kind)+": "+o.Detail]++
		}
	}
	return reasons
}

// between returns the requests meant to be sent in a span of time.
func (f finished) between(from, to time.Time) finished {
	kept := f
	kept.outcomes = nil
	for _, o := range f.outcomes {
		if at := f.start.Add(o.Intended); !at.Before(from) && at.Before(to) {
			kept.outcomes = append(kept.outcomes, o)
		}
	}
	return kept
}

// startedAt counts the executions at some endpoints that began in a span of time.
func (f finished) startedAt(endpoints map[string]bool, from, to time.Time) int {
	count := 0
	for _, e := range f.executions {
		if endpoints[e.EndpointID] && e.StartedUnixUS >= from.UnixMicro() && e.StartedUnixUS < to.UnixMicro() {
			count++
		}
	}
	return count
}

// p99 returns the 99th percentile of the latencies of served requests, zero when none was served.
func (f finished) p99() time.Duration {
	var latencies []time.Duration
	for _, o := range f.outcomes {
		if o.Kind == outcome.Served {
			latencies = append(latencies, o.Latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)*99/100]
}

// ofEntries returns the requests of some entries of the mix, by their places in it.
func (f finished) ofEntries(entries ...int) finished {
	kept := f
	kept.outcomes = nil
	for _, o := range f.outcomes {
		if slices.Contains(entries, o.Entry) {
			kept.outcomes = append(kept.outcomes, o)
		}
	}
	return kept
}

// checkWindows checks that no whole window of a span of time has a dip in service.
func (f finished) checkWindows(t *testing.T, from, to time.Time) {
	t.Helper()
	for at := from; at.Add(window).Before(to); at = at.Add(window) {
		in := f.between(at, at.Add(window))
		unserved := len(in.outcomes) - in.count(outcome.Served)
		t.Logf("%.0f s: %d of %d not served, p99 %v", at.Sub(from).Seconds(), unserved, len(in.outcomes), in.p99())
		qt.Check(t, float64(unserved) <= dipRefusals*float64(len(in.outcomes)), qt.IsTrue)
		qt.Check(t, in.p99() <= dipLatency, qt.IsTrue)
	}
}
