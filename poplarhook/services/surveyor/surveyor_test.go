package surveyor_test

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
	"poplarhook.example/poplarhook/models/wish"
	"poplarhook.example/poplarhook/services/surveyor"
)

// world gives endpoints and what they say of themselves.
type world struct {
	mu    sync.Mutex
	hosts map[group.Group][]host.Host
	says  map[string]report.Report
	looks map[string]int
}

func newWorld() *world {
	return &world{hosts: make(map[group.Group][]host.Host), says: make(map[string]report.Report), looks: make(map[string]int)}
}

var (
	own   = group.Group{Service: "s", Region: "own"}
	other = group.Group{Service: "s", Region: "other"}
)

// add lists an endpoint that says the given of itself.
func (w *world) add(g group.Group, id string, r report.Report) *world {
	w.hosts[g] = append(w.hosts[g], host.Host{ID: id, Incarnation: id + "/1", Region: g.Region, Slots: 2, ColdPerSecond: 5, Address: id})
	r.Loaded = r.Err == nil
	w.says[id] = r
	return w
}

func (w *world) OpenEndpoints(_ time.Time, g group.Group) []host.Host {
	return w.hosts[g]
}

func (w *world) Ask(ctx context.Context, endpoint host.Host) report.Report {
	w.mu.Lock()
	w.looks[endpoint.ID]++
	r := w.says[endpoint.ID]
	w.mu.Unlock()
	if errors.Is(r.Err, errSilent) {
		<-ctx.Done()
	}
	return r
}

var (
	errSilent = errors.New("silent")
	errClosed = errors.New("closed")
)

func idle(slowness float64) report.Report {
	return report.Report{Slots: 2, Slowness: slowness, Status: 200}
}

func busy(running, waiting int) report.Report {
	return report.Report{InFlight: running, Waiting: waiting, Slots: 2, Slowness: 1, Status: 200}
}

func newSurveyor(t *testing.T, w *world, options ...surveyor.Option) *surveyor.Surveyor {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return surveyor.New(ctx, "entry-1", "own", w, w, options...)
}

// want is a request with a target of 300 ms.
func want() wish.Wish {
	now := time.Now()
	return wish.Wish{Groups: []group.Group{own, other}, Class: "a", Arrived: now, Target: now.Add(300 * time.Millisecond), Until: now.Add(time.Second)}
}

func bind(t *testing.T, s *surveyor.Surveyor) binding.Binding {
	t.Helper()
	b, err := s.Bind(context.Background(), want())
	qt.Assert(t, err, qt.IsNil)
	return b
}

func TestTheSoonestAnswerIsChosen(t *testing.T) {
	for name, test := range map[string]struct {
		world *world
		want  string
	}{
		"the fast one":                         {newWorld().add(own, "slow", idle(5)).add(own, "fast", idle(1)), "fast"},
		"the idle one":                         {newWorld().add(own, "busy", busy(2, 1)).add(own, "idle", idle(1)), "idle"},
		"one of the own region":                {newWorld().add(own, "near", busy(1, 0)).add(other, "far", idle(1)), "near"},
		"another region when the own is late":  {newWorld().add(own, "near", idle(8)).add(other, "far", idle(1)), "far"},
		"another region when the own is empty": {newWorld().add(other, "far", idle(1)), "far"},
		"one that answers":                     {newWorld().add(own, "gone", report.Report{Err: errClosed}).add(own, "there", busy(1, 0)), "there"},
		"one that answers in time":             {newWorld().add(own, "mute", report.Report{Err: errSilent}).add(own, "there", busy(1, 0)), "there"},
		"one that calls itself well":           {newWorld().add(own, "ill", report.Report{Slots: 2, Slowness: 1, Status: 503}).add(own, "well", busy(1, 0)), "well"},
		"one with its own id": {newWorld().add(own, "was", report.Report{Slots: 2, Slowness: 1, Status: 200, Incarnation: "another"}).
			add(own, "is", busy(1, 0)), "is"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, bind(t, newSurveyor(t, test.world)).Endpoint.ID, qt.Equals, test.want)
		})
	}
}

func TestARequestIsSentWhenNoLookIsAnswered(t *testing.T) {
	w := newWorld().add(own, "mute", report.Report{Err: errSilent})
	qt.Assert(t, bind(t, newSurveyor(t, w)).Endpoint.ID, qt.Equals, "mute")
}

func TestNoOpenEndpointIsRefusedAtOnceAsNotRun(t *testing.T) {
	startedAt := time.Now()
	_, err := newSurveyor(t, newWorld()).Bind(context.Background(), want())
	qt.Assert(t, errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	qt.Assert(t, time.Since(startedAt) < 100*time.Millisecond, qt.IsTrue)
}

func TestFullEndpointsAreRefusedBeforeTheDeadline(t *testing.T) {
	c := qt.New(t)
	w := newWorld().add(own, "full", busy(2, 8))
	startedAt := time.Now()
	_, err := newSurveyor(t, w).Bind(context.Background(), want())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	c.Assert(time.Since(startedAt) < 500*time.Millisecond, qt.IsTrue)
	var r *refusal.Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Assert(r.RetryAfter > 0, qt.IsTrue)
}

func TestAColdEndpointGetsThisHostsShareOnly(t *testing.T) {
	c := qt.New(t)
	cold := report.Report{Slots: 2, Slowness: 1, Status: 200, ColdFor: time.Minute}
	w := newWorld().add(own, "cold", cold)
	s := newSurveyor(t, w, surveyor.WithSharers(func(host.Host) (int, bool) { return 5, true }))
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "cold")
	_, err := s.Bind(context.Background(), want())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue, qt.Commentf("five hosts share five requests a second"))

	outsider := newSurveyor(t, newWorld().add(own, "cold", cold), surveyor.WithSharers(func(host.Host) (int, bool) { return 5, false }))
	_, err = outsider.Bind(context.Background(), want())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue, qt.Commentf("a host that has no share"))
}

func TestAnEndpointThatFailsIsPassedOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld().add(own, "fails", idle(1)).add(own, "works", busy(1, 0))
	s := newSurveyor(t, w)
	first := bind(t, s)
	c.Assert(first.Endpoint.ID, qt.Equals, "fails")
	s.Finish(first, report.Report{Err: errClosed})
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "works")
}

func TestAnEndpointThatSwallowsAnswersIsAvoided(t *testing.T) {
	c := qt.New(t)
	w := newWorld().add(own, "swallows", idle(1)).add(own, "works", busy(1, 0))
	s := newSurveyor(t, w)
	usual := report.Report{Status: 200, Latency: 60 * time.Millisecond}
	for range 10 {
		s.Finish(bind(t, s), usual)
	}
	// Its work ends as usual, but the callers' patience ends first for every other answer.
	for range 4 {
		b := bind(t, s)
		if b.Endpoint.ID == "swallows" {
			s.Finish(b, report.Report{Cancelled: true, Err: errClosed, Latency: time.Second})
		}
	}
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "works")
	// A caller that leaves soon says nothing about the endpoint.
	fresh := newSurveyor(t, newWorld().add(own, "left", idle(1)).add(own, "other", busy(1, 0)))
	for range 4 {
		fresh.Finish(bind(t, fresh), usual)
	}
	for range 4 {
		fresh.Finish(bind(t, fresh), report.Report{Cancelled: true, Err: errClosed, Latency: 30 * time.Millisecond})
	}
	c.Assert(bind(t, fresh).Endpoint.ID, qt.Equals, "left")
}

func TestEndpointsThatDoNotTellTheirLoadAreUsedInTurn(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []string{"a", "b", "c"} {
		w.add(own, id, report.Report{Status: 200})
		w.says[id] = report.Report{Status: 200}
	}
	s := newSurveyor(t, w)
	seen := make(map[string]bool)
	for range 3 {
		seen[bind(t, s).Endpoint.ID] = true
	}
	c.Assert(seen, qt.HasLen, 3)
}

func TestLooksStayWithinTheirBudget(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		w.add(own, id, idle(1))
	}
	s := newSurveyor(t, w, surveyor.WithLookRate(func() float64 { return 5 }))
	for range 100 {
		bind(t, s)
	}
	looks := 0
	w.mu.Lock()
	for _, n := range w.looks {
		looks += n
	}
	w.mu.Unlock()
	c.Assert(looks <= 15, qt.IsTrue, qt.Commentf("%d looks in well under a second", looks))
}

func TestCallersOfFullEndpointsMayComeBackSoon(t *testing.T) {
	c := qt.New(t)
	w := newWorld().add(own, "full", busy(2, 200))
	_, err := newSurveyor(t, w).Bind(context.Background(), want())
	var r *refusal.Refusal
	c.Assert(errors.As(err, &r), qt.IsTrue)
	c.Assert(r.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%s", r.RetryAfter))
}

func TestAMisdirectedEndpointIsNotUsedUntilItIsListedAnew(t *testing.T) {
	c := qt.New(t)
	w := newWorld().add(own, "was", idle(1))
	s := newSurveyor(t, w)
	s.Finish(bind(t, s), report.Report{Status: 421, Misdirected: true, Refused: true})
	_, err := s.Bind(context.Background(), want())
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	w.hosts[own][0].Incarnation = "was/2"
	c.Assert(bind(t, s).Endpoint.ID, qt.Equals, "was")
}

func TestAnAttemptThatIsGivenUpSaysNothingOfTheEndpoints(t *testing.T) {
	logged, lines := observer.New(zap.WarnLevel)
	w := newWorld().add(own, "mute", report.Report{Err: errSilent})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newSurveyor(t, w, surveyor.WithLogger(zap.New(logged))).Bind(ctx, want())
	qt.Assert(t, errors.Is(err, refusal.ErrNotRun), qt.IsTrue)
	qt.Assert(t, lines.Len(), qt.Equals, 0)
}
