package failures_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/locator"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/reconciler"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/runner"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/fleet"
)

// maxLoadDuration limits a load that its test does not end earlier.
const maxLoadDuration = 25 * time.Second

// serviceWindow is the length of the time windows for which the share of served requests and the latency are checked.
const serviceWindow = time.Second

// load sends requests to a fleet in the background until its test ends it.
type load struct {
	running   *fleet.Fleet
	mix       []scenario.Entry
	start     time.Time
	stop      context.CancelFunc
	ended     chan []outcome.Outcome
	completed atomic.Int64
	served    atomic.Int64
}

// uncancelledSender sends requests that are not cancelled when the load ends, and counts their outcomes.
type uncancelledSender struct {
	runner.Sender
	load *load
}

// Send sends one request and waits for its outcome, even if the load has ended.
func (s uncancelledSender) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	completed := s.Sender.Send(context.WithoutCancel(ctx), arrival, start)
	s.load.completed.Add(1)
	if completed.Kind == outcome.Served {
		s.load.served.Add(1)
	}
	return completed
}

// startLoad starts a load of the mix, in requests per second, against the given addresses of entry hosts.
func startLoad(t *testing.T, running *fleet.Fleet, rate float64, addresses []string, mix ...scenario.Entry) *load {
	t.Helper()
	requests := sender.New(mix, addresses, time.Now)
	t.Cleanup(requests.Close)
	return startLoadWithSender(t, running, rate, requests, len(addresses), mix...)
}

// startLoadWithSender starts a load whose requests are sent by the given sender.
func startLoadWithSender(t *testing.T, running *fleet.Fleet, rate float64, requests runner.Sender, targets int, mix ...scenario.Entry) *load {
	t.Helper()
	schedule, err := scheduler.New(scenario.Scenario{
		DurationMS: maxLoadDuration.Milliseconds(), Seed: 1, RatePerS: rate, Arrivals: scenario.Poisson, Mix: mix,
	}, targets, scheduler.RoundRobin)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{running: running, mix: mix, start: time.Now(), stop: cancel, ended: make(chan []outcome.Outcome, 1)}
	go func() { l.ended <- runner.New(schedule, uncancelledSender{requests, l}, time.Now).Run(ctx) }()
	t.Cleanup(cancel)
	return l
}

// awaitServed waits until the given number of further requests has been served.
func (l *load) awaitServed(t *testing.T, more int64) {
	t.Helper()
	target := l.served.Load() + more
	awaitCondition(t, "served requests", func() bool { return l.served.Load() >= target })
}

// awaitCompleted waits until the given number of further requests has ended with any outcome.
func (l *load) awaitCompleted(t *testing.T, more int64) {
	t.Helper()
	target := l.completed.Load() + more
	awaitCondition(t, "ended requests", func() bool { return l.completed.Load() >= target })
}

// loadResult holds the outcomes of an ended load and the records of the endpoints.
type loadResult struct {
	result.Discrepancies
	start            time.Time
	outcomes         []outcome.Outcome
	executions       []execution.Execution
	overloadRestarts int64
	coldPeakInFlight int64
	// peakConnections is the highest number of connections that one endpoint had open at once.
	peakConnections int64
}

// end ends the load, waits for its last outcome and compares the outcomes with the records of the endpoints.
func (l *load) end(t *testing.T) loadResult {
	t.Helper()
	l.stop()
	outcomes := <-l.ended
	records, err := l.running.EndpointRecords(t.Context())
	qt.Assert(t, err, qt.IsNil)
	f := loadResult{
		start: l.start, outcomes: outcomes, executions: records.Executions,
		overloadRestarts: records.ColdOverloads, coldPeakInFlight: records.ColdPeakInFlight, peakConnections: records.ConnectionsPeak,
	}
	withRegions := reconciler.WithRegions(locator.New(l.running.Endpoints()))
	for _, a := range reconciler.New(l.mix, withRegions).Reconcile(outcomes, records.Executions) {
		f.Discrepancies = f.Plus(a)
	}
	unknown := f.countOutcomes(outcome.Unknown, outcome.Broken) - f.unservedReasons()["broken: connection refused"]
	t.Logf("sent %d: served %d, outcome unknown to the caller %d (%.1f per thousand); not served: %v", len(outcomes),
		f.countOutcomes(outcome.Served), unknown, 1000*float64(unknown)/float64(max(len(outcomes), 1)), f.unservedReasons())
	return f
}

// checkInvariants checks the outcomes and records for what must hold under every fault.
func (f loadResult) checkInvariants(t *testing.T) {
	t.Helper()
	qt.Check(t, f.Doubled, qt.Equals, int64(0))
	qt.Check(t, f.FalseNotRun, qt.Equals, int64(0))
	qt.Check(t, f.Lost, qt.Equals, int64(0))
	qt.Check(t, f.ServedAgainstClass, qt.Equals, int64(0))
	qt.Check(t, f.countOutcomes(outcome.WrongAnswer), qt.Equals, 0)
}

// countOutcomes returns how many requests had an outcome of one of the kinds.
func (f loadResult) countOutcomes(kinds ...outcome.Kind) int {
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

// unservedReasons counts the requests that were not served, per reason.
func (f loadResult) unservedReasons() map[string]int {
	reasons := make(map[string]int)
	for _, o := range f.outcomes {
		if o.Kind != outcome.Served {
			reasons[string(o.Kind)+": "+o.Detail]++
		}
	}
	return reasons
}

// scheduledBetween returns the result with only the requests that were scheduled to be sent in a time span.
func (f loadResult) scheduledBetween(from, to time.Time) loadResult {
	kept := f
	kept.outcomes = nil
	for _, o := range f.outcomes {
		if at := f.start.Add(o.Intended); !at.Before(from) && at.Before(to) {
			kept.outcomes = append(kept.outcomes, o)
		}
	}
	return kept
}

// countExecutions counts the executions that began at the given endpoints in a time span.
func (f loadResult) countExecutions(endpoints map[string]bool, from, to time.Time) int {
	count := 0
	for _, e := range f.executions {
		if endpoints[e.EndpointID] && e.StartedUnixUS >= from.UnixMicro() && e.StartedUnixUS < to.UnixMicro() {
			count++
		}
	}
	return count
}

// p99 returns the 99th percentile of the latencies of served requests, or zero if none was served.
func (f loadResult) p99() time.Duration {
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

// ofMixEntries returns the result with only the requests of the mix entries with the given indexes.
func (f loadResult) ofMixEntries(entries ...int) loadResult {
	kept := f
	kept.outcomes = nil
	for _, o := range f.outcomes {
		if slices.Contains(entries, o.Entry) {
			kept.outcomes = append(kept.outcomes, o)
		}
	}
	return kept
}

// checkWindows checks that in each complete window of a time span at most maxUnservedShare of the requests go unserved
// and the 99th percentile of the latency is at most maxWindowP99.
func (f loadResult) checkWindows(t *testing.T, from, to time.Time) {
	t.Helper()
	for at := from; at.Add(serviceWindow).Before(to); at = at.Add(serviceWindow) {
		inWindow := f.scheduledBetween(at, at.Add(serviceWindow))
		unserved := len(inWindow.outcomes) - inWindow.countOutcomes(outcome.Served)
		t.Logf("%.0f s: %d of %d not served, p99 %v", at.Sub(from).Seconds(), unserved, len(inWindow.outcomes), inWindow.p99())
		qt.Check(t, float64(unserved) <= maxUnservedShare*float64(len(inWindow.outcomes)), qt.IsTrue)
		qt.Check(t, inWindow.p99() <= maxWindowP99, qt.IsTrue)
	}
}
