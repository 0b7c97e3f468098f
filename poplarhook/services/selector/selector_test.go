package selector_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/selector"
)

// fakeCluster lists endpoints, answers probes with their reports and counts the probes.
type fakeCluster struct {
	mu      sync.Mutex
	hosts   map[group.Group][]host.Host
	reports map[string]report.Report
	probes  map[string]int
	// delay is how long an endpoint takes to answer a probe.
	delay time.Duration
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{hosts: make(map[group.Group][]host.Host), reports: make(map[string]report.Report), probes: make(map[string]int)}
}

var (
	own   = group.Group{Service: "s", Region: "own"}
	other = group.Group{Service: "s", Region: "other"}
)

// addEndpoint lists an endpoint that answers probes with the report.
func (w *fakeCluster) addEndpoint(g group.Group, id string, r report.Report) *fakeCluster {
	w.hosts[g] = append(w.hosts[g], host.Host{ID: id, Incarnation: id + "/1", Region: g.Region, Slots: 2, ColdPerSecond: 5, Address: id})
	r.HasLoad = r.Err == nil
	w.reports[id] = r
	return w
}

func (w *fakeCluster) OpenEndpoints(_ time.Time, g group.Group) []host.Host {
	return w.hosts[g]
}

func (w *fakeCluster) Probe(ctx context.Context, endpoint host.Host) report.Report {
	w.mu.Lock()
	w.probes[endpoint.ID]++
	r := w.reports[endpoint.ID]
	delay := w.delay
	w.mu.Unlock()
	time.Sleep(delay)
	if errors.Is(r.Err, errSilent) {
		<-ctx.Done()
	}
	if errors.Is(r.Err, errMalformed) {
		panic(r.Err)
	}
	return r
}

var (
	errSilent = errors.New("silent")
	errClosed = errors.New("closed")
	// errMalformed makes the probe panic.
	errMalformed = errors.New("malformed")
)

func newIdleReport(slowFactor float64) report.Report {
	return report.Report{Slots: 2, SlowFactor: slowFactor, Status: 200}
}

func newBusyReport(running, waiting int) report.Report {
	return report.Report{InFlight: running, Waiting: waiting, Slots: 2, SlowFactor: 1, Status: 200}
}

func newSelector(t *testing.T, w *fakeCluster, options ...selector.Option) *selector.Selector {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return selector.New(ctx, "entry-1", "own", w, w, options...)
}

// newRequest returns a request with a target of 300 ms.
func newRequest() requirement.Requirement {
	now := time.Now()
	return requirement.Requirement{Groups: []group.Group{own, other}, Class: "a", ArrivedAt: now, Target: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second)}
}

func bind(t *testing.T, s *selector.Selector) binding.Binding {
	t.Helper()
	b, err := s.Bind(context.Background(), newRequest())
	qt.Assert(t, err, qt.IsNil)
	return b
}

func TestBindChoosesEndpointWithTheShortestEstimate(t *testing.T) {
	for name, test := range map[string]struct {
		cluster *fakeCluster
		want    string
	}{
		"the faster endpoint":                                {newFakeCluster().addEndpoint(own, "slow", newIdleReport(5)).addEndpoint(own, "fast", newIdleReport(1)), "fast"},
		"the idle endpoint":                                  {newFakeCluster().addEndpoint(own, "busy", newBusyReport(2, 1)).addEndpoint(own, "idle", newIdleReport(1)), "idle"},
		"an endpoint of the own region":                      {newFakeCluster().addEndpoint(own, "near", newBusyReport(1, 0)).addEndpoint(other, "far", newIdleReport(1)), "near"},
		"another region when the own region would be late":   {newFakeCluster().addEndpoint(own, "near", newIdleReport(8)).addEndpoint(other, "far", newIdleReport(1)), "far"},
		"another region when the own region has no endpoint": {newFakeCluster().addEndpoint(other, "far", newIdleReport(1)), "far"},
		"an endpoint that answers probes":                    {newFakeCluster().addEndpoint(own, "gone", report.Report{Err: errClosed}).addEndpoint(own, "there", newBusyReport(1, 0)), "there"},
		"an endpoint that answers probes in time":            {newFakeCluster().addEndpoint(own, "silent", report.Report{Err: errSilent}).addEndpoint(own, "there", newBusyReport(1, 0)), "there"},
		"an endpoint whose answer can be read":               {newFakeCluster().addEndpoint(own, "malformed", report.Report{Err: errMalformed}).addEndpoint(own, "there", newBusyReport(1, 0)), "there"},
		"an endpoint that reports itself healthy":            {newFakeCluster().addEndpoint(own, "unhealthy", report.Report{Slots: 2, SlowFactor: 1, Status: 503}).addEndpoint(own, "healthy", newBusyReport(1, 0)), "healthy"},
		"an endpoint that answers with its own id": {newFakeCluster().addEndpoint(own, "replaced", report.Report{Slots: 2, SlowFactor: 1, Status: 200, Incarnation: "another"}).
			addEndpoint(own, "present", newBusyReport(1, 0)), "present"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, bind(t, newSelector(t, test.cluster)).Endpoint.ID, qt.Equals, test.want)
		})
	}
}

func TestBindSucceedsWhenNoProbeIsAnswered(t *testing.T) {
	w := newFakeCluster().addEndpoint(own, "silent", report.Report{Err: errSilent})
	qt.Assert(t, bind(t, newSelector(t, w)).Endpoint.ID, qt.Equals, "silent")
}

func TestBindRefusesAtOnceWithoutOpenEndpoints(t *testing.T) {
	startedAt := time.Now()
	_, err := newSelector(t, newFakeCluster()).Bind(context.Background(), newRequest())
	qt.Assert(t, errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	qt.Assert(t, time.Since(startedAt) < 100*time.Millisecond, qt.IsTrue)
}

func TestBindRefusesBeforeTheDeadlineWhenEndpointsAreFull(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "full", newBusyReport(2, 8))
	startedAt := time.Now()
	_, err := newSelector(t, w).Bind(context.Background(), newRequest())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	c.Assert(time.Since(startedAt) < 500*time.Millisecond, qt.IsTrue)
	var r *refusal.Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Assert(r.RetryAfter > 0, qt.IsTrue)
}

func TestColdEndpointGetsNoMoreThanTheShareOfTheHost(t *testing.T) {
	c := qt.New(t)
	cold := report.Report{Slots: 2, SlowFactor: 1, Status: 200, ColdFor: time.Minute}
	w := newFakeCluster().addEndpoint(own, "cold", cold)
	s := newSelector(t, w, selector.WithColdSharers(func(host.Host) (int, bool) { return 5, true }))
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "cold")
	_, err := s.Bind(context.Background(), newRequest())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue, qt.Commentf("five hosts share five requests per second"))

	outsider := newSelector(t, newFakeCluster().addEndpoint(own, "cold", cold), selector.WithColdSharers(func(host.Host) (int, bool) { return 5, false }))
	_, err = outsider.Bind(context.Background(), newRequest())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue, qt.Commentf("the host has no share"))
}

func TestFailedEndpointIsAvoided(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "fails", newIdleReport(1)).addEndpoint(own, "works", newBusyReport(1, 0))
	s := newSelector(t, w)
	first := bind(t, s)
	c.Assert(first.Endpoint.ID, qt.Equals, "fails")
	s.Finish(first, report.Report{Err: errClosed})
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "works")
}

func TestEndpointThatLosesAnswersIsAvoided(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "loses", newIdleReport(1)).addEndpoint(own, "works", newBusyReport(1, 0))
	s := newSelector(t, w)
	usual := report.Report{Status: 200, Latency: 60 * time.Millisecond}
	for range 10 {
		s.Finish(bind(t, s), usual)
	}
	// The endpoint processes requests in the usual time, but callers time out before its answers arrive.
	for range 4 {
		b := bind(t, s)
		if b.Endpoint.ID == "loses" {
			s.Finish(b, report.Report{Cancelled: true, Err: errClosed, Latency: time.Second})
			continue
		}
		s.Finish(b, usual)
	}
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "works")
	// A caller that leaves early is no sign of a failure of the endpoint.
	fresh := newSelector(t, newFakeCluster().addEndpoint(own, "left", newIdleReport(1)).addEndpoint(own, "other", newBusyReport(1, 0)))
	for range 4 {
		fresh.Finish(bind(t, fresh), usual)
	}
	for range 4 {
		fresh.Finish(bind(t, fresh), report.Report{Cancelled: true, Err: errClosed, Latency: 30 * time.Millisecond})
	}
	c.Assert(bind(t, fresh).Endpoint.ID, qt.Equals, "left")
}

func TestEndpointsThatDoNotReportTheirLoadAreUsedInTurn(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster()
	for _, id := range []string{"a", "b", "c"} {
		w.addEndpoint(own, id, report.Report{Status: 200})
		w.reports[id] = report.Report{Status: 200}
	}
	s := newSelector(t, w)
	seen := make(map[string]bool)
	for range 3 {
		seen[bind(t, s).Endpoint.ID] = true
	}
	c.Assert(seen, qt.HasLen, 3)
}

func TestProbesStayWithinTheirBudget(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster()
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		w.addEndpoint(own, id, newIdleReport(1))
	}
	s := newSelector(t, w, selector.WithProbeRate(func() float64 { return 5 }))
	for range 100 {
		bind(t, s)
	}
	probes := 0
	w.mu.Lock()
	for _, n := range w.probes {
		probes += n
	}
	w.mu.Unlock()
	c.Assert(probes <= 15, qt.IsTrue, qt.Commentf("%d probes in well under a second", probes))
}

func TestRetryAfterOfFullEndpointsIsAtMostOneSecond(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "full", newBusyReport(2, 200))
	_, err := newSelector(t, w).Bind(context.Background(), newRequest())
	var r *refusal.Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Assert(r.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%s", r.RetryAfter))
}

// The first request of a class is not refused because of a guess of its service time.
func TestFirstRequestOfAClassIsSentToABusyEndpoint(t *testing.T) {
	w := newFakeCluster().addEndpoint(own, "busy", newBusyReport(2, 0))
	qt.Assert(t, bind(t, newSelector(t, w)).Endpoint.ID, qt.Equals, "busy")
}

// A full endpoint whose answer to the probe comes late does not count as free.
func TestFullEndpointWithLateProbeAnswerGetsNoRequest(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "full", newBusyReport(2, 200))
	w.delay = 22 * time.Millisecond
	_, err := newSelector(t, w).Bind(context.Background(), newRequest())
	var r *refusal.Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
}

func TestReplacedEndpointIsNotUsedUntilItsIncarnationChanges(t *testing.T) {
	c := qt.New(t)
	w := newFakeCluster().addEndpoint(own, "replaced", newIdleReport(1))
	s := newSelector(t, w)
	s.Finish(bind(t, s), report.Report{Status: 421, Misdirected: true, Refused: true})
	_, err := s.Bind(context.Background(), newRequest())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	w.hosts[own][0].Incarnation = "replaced/2"
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "replaced")
}

func TestCancelledBindLogsNoWarning(t *testing.T) {
	logged, lines := observer.New(zap.WarnLevel)
	w := newFakeCluster().addEndpoint(own, "silent", report.Report{Err: errSilent})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newSelector(t, w, selector.WithLogger(zap.New(logged))).Bind(ctx, newRequest())
	qt.Assert(t, errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	qt.Assert(t, lines.Len(), qt.Equals, 0)
}
