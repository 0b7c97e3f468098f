package failures_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// An endpoint that says in its answers and its health that it leaves, long before the host list says so, and one of
// which only the lagging list says so get no new work after a few seconds through any host.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(6))
	l := offer(t, running, 300, running.EntryAddresses(), lookups())
	l.awaitServed(t, 300)
	controlPlatform(t, running, platformFaults{HostListLagMS: new(500)})
	endpoints := endpointsOf(running, "stock_availability")
	left := time.Now()
	control(t, running, endpoints[0], endpointFaults{Leaving: new(true)})
	listed := endpoints[1]
	listed.State = host.StateLeaving
	qt.Assert(t, running.PutHost(t.Context(), listed), qt.IsNil)
	pass(t, few+window)
	f := l.end(t)
	f.assertTrue(t)
	for _, leaving := range endpoints[:2] {
		ids := map[string]bool{leaving.ID: true}
		t.Logf("%s: %d executions later than %v", leaving.ID, f.startedAt(ids, left.Add(zoneAim), time.Now()), zoneAim)
		qt.Check(t, f.startedAt(ids, left.Add(few), time.Now()), qt.Equals, 0)
		qt.Check(t, f.startedAt(ids, time.Time{}, left) > 0, qt.IsTrue)
	}
}

// follower sends each request to an entry host that looks ready, as the platform's balancer does.
type follower struct {
	running *fleet.Fleet
	ready   atomic.Pointer[[]*sender.Sender]
	senders map[string]*sender.Sender
	mix     []scenario.Entry
}

func follow(t *testing.T, running *fleet.Fleet, mix ...scenario.Entry) *follower {
	t.Helper()
	f := &follower{running: running, senders: make(map[string]*sender.Sender), mix: mix}
	f.look(t.Context())
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		ticker := time.NewTicker(10 * conditionPoll)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				f.look(ctx)
			case <-ctx.Done():
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// look finds the entry hosts that are ready.
func (f *follower) look(ctx context.Context) {
	var ready []*sender.Sender
	for _, entry := range f.running.Entries() {
		if _, err := f.running.Get(ctx, "http://"+entry.AdminAddress+"/readyz"); err != nil {
			continue
		}
		if f.senders[entry.Address] == nil {
			f.senders[entry.Address] = sender.New(f.mix, []string{entry.Address}, time.Now)
		}
		ready = append(ready, f.senders[entry.Address])
	}
	if len(ready) > 0 {
		f.ready.Store(&ready)
	}
}

// Send sends the request to one of the ready entry hosts.
func (f *follower) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	ready := *f.ready.Load()
	chosen := ready[int(arrival.Intended/time.Microsecond)%len(ready)]
	arrival.Target = 0
	return chosen.Send(ctx, arrival, start)
}

// A rolling restart of all entry hosts cuts off no order.
func TestRollingRestartCutsOffNoRequest(t *testing.T) {
	running := start(t, pohja(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(3),
		fleet.WithEntryArguments("--drain-notice", "1s"), fleet.WithEndpointArguments("--mean-service-ms", "20"))
	l := offerBy(t, running, 150, follow(t, running, orders()), 1, orders())
	l.awaitServed(t, 50)
	for _, entry := range running.Entries() {
		qt.Assert(t, running.Terminate(entry.ID), qt.IsNil)
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		qt.Assert(t, running.WaitReady(t.Context()), qt.IsNil)
		l.awaitServed(t, 100)
	}
	f := l.end(t)
	f.assertTrue(t)
	qt.Check(t, f.count(outcome.Unknown, outcome.Broken), qt.Equals, 0)
	qt.Check(t, f.count(outcome.Served), qt.Equals, len(f.outcomes))
}

// A planned stop of an endpoint process cuts off no order on our side: what was not run is run elsewhere.
func TestEndpointsThatLeaveAndEndCutOffNoRequest(t *testing.T) {
	running := start(t, pohja(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(3),
		fleet.WithEndpointProcessPerZone())
	l := offer(t, running, 150, running.EntryAddresses(), orders())
	l.awaitServed(t, 100)
	before, err := running.Ledger(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, running.Terminate("endpoints-pohja-b"), qt.IsNil)
	l.awaitServed(t, 200)
	l.stop()
	f := finished{outcomes: <-l.ended, executions: before.Executions}
	t.Logf("not served: %v", f.reasons())
	qt.Check(t, f.count(outcome.Unknown, outcome.Broken, outcome.NotRun), qt.Equals, 0)
}
