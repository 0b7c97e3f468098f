package selector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/selector"
)

const (
	overloadHosts     = 4
	overloadEndpoints = 16
	overloadSlots     = 4
	// overloadQueue is how many requests may wait at an endpoint, which refuses more.
	overloadQueue = 8
	// overloadDelay is the network delay between a host and an endpoint.
	overloadDelay   = 1400 * time.Microsecond
	overloadService = 90 * time.Millisecond
	overloadTarget  = 250 * time.Millisecond
	overloadBudget  = 1200 * time.Millisecond
	// overloadHighShare is the share of the callers whose requests are urgent.
	overloadHighShare = 0.1
	// minEndpointRetryAfter and maxEndpointRetryAfter are the range of the time that the dispatcher gives to callers whose
	// requests an endpoint refused.
	minEndpointRetryAfter = 30 * time.Millisecond
	maxEndpointRetryAfter = 100 * time.Millisecond
	// overloadProbeRate is how many probes per second each host may send, as on the deployments with 60 probes a second
	// for each endpoint.
	overloadProbeRate = 0.7 * 60 * overloadEndpoints / overloadHosts
)

// simulatedEndpoint works on overloadSlots requests at a time and queues overloadQueue more, first come first served.
type simulatedEndpoint struct {
	mu      sync.Mutex
	random  *rand.Rand
	running int
	queue   []chan struct{}
	// refusedShare is the share of requests that the endpoint refuses although it has room.
	refusedShare float64
}

func (e *simulatedEndpoint) report() report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return report.Report{Status: 200, HasLoad: true, InFlight: e.running, Waiting: len(e.queue), Slots: overloadSlots, SlowFactor: 1}
}

// serve works on one request and reports false if the endpoint refuses it.
func (e *simulatedEndpoint) serve() bool {
	e.mu.Lock()
	if (e.running == overloadSlots && len(e.queue) >= overloadQueue) || e.random.Float64() < e.refusedShare {
		e.mu.Unlock()
		return false
	}
	took := time.Duration(float64(overloadService) * (0.6 + 0.8*e.random.Float64()))
	if e.running < overloadSlots {
		e.running++
		e.mu.Unlock()
	} else {
		turn := make(chan struct{})
		e.queue = append(e.queue, turn)
		e.mu.Unlock()
		<-turn
	}
	time.Sleep(took)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
		return true
	}
	e.running--
	return true
}

// overload simulates hosts that select endpoints for callers who repeat a refused request once, after the time that the
// refusal gives.
type overload struct {
	endpoints map[string]*simulatedEndpoint
	listed    []host.Host
	selectors []*selector.Selector

	mu       sync.Mutex
	outcomes map[string]*callerOutcomes
}

// callerOutcomes is what the callers of one urgency got.
type callerOutcomes struct {
	callers  int
	inTime   int
	late     int
	refused  int
	attempts int
	// refusalTimes holds how long each refusal took.
	refusalTimes []time.Duration
}

func newOverload(ctx context.Context) *overload {
	w := &overload{endpoints: make(map[string]*simulatedEndpoint), outcomes: make(map[string]*callerOutcomes)}
	for i := range overloadEndpoints {
		id := fmt.Sprintf("e%02d", i)
		w.endpoints[id] = &simulatedEndpoint{random: rand.New(rand.NewPCG(uint64(i), 1))}
		w.listed = append(w.listed, host.Host{ID: id, Incarnation: id, Region: "own", Slots: overloadSlots, Address: id})
	}
	for i := range overloadHosts {
		w.selectors = append(w.selectors, selector.New(ctx, fmt.Sprintf("entry-%d", i), "own", w, w,
			selector.WithSeed(uint64(i)), selector.WithProbeRate(func() float64 { return overloadProbeRate })))
	}
	return w
}

func (w *overload) OpenEndpoints(time.Time, group.Group) []host.Host { return w.listed }

func (w *overload) Probe(_ context.Context, endpoint host.Host) report.Report {
	time.Sleep(overloadDelay)
	r := w.endpoints[endpoint.ID].report()
	time.Sleep(overloadDelay)
	return r
}

// attempt sends one request as the dispatcher does, and returns nil if it was answered.
func (w *overload) attempt(s *selector.Selector, req requirement.Requirement) *refusal.Refusal {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	b, err := s.Bind(ctx, req)
	if err != nil {
		var r *refusal.Refusal
		if errors.As(err, &r) {
			return r
		}
		return refusal.Unknown(err.Error())
	}
	sentAt := time.Now()
	e := w.endpoints[b.Endpoint.ID]
	time.Sleep(overloadDelay)
	answered := e.serve()
	seen := e.report()
	time.Sleep(overloadDelay)
	seen.Refused = !answered
	s.Finish(b, seen.WithResult(time.Since(sentAt), nil))
	if answered {
		return nil
	}
	return refusal.NotRun(503, "refused").WithRetryAfter(minEndpointRetryAfter + rand.N(maxEndpointRetryAfter-minEndpointRetryAfter))
}

// call makes one caller's request and repeats it once if it is refused.
func (w *overload) call(random *rand.Rand, urgency int) {
	name := "normal"
	if urgency == requirement.High {
		name = "high"
	}
	startedAt := time.Now()
	deadline := startedAt.Add(overloadBudget)
	attempts, answered := 0, false
	var refusalTimes []time.Duration
	w.mu.Lock()
	first, second := random.IntN(overloadHosts), random.IntN(overloadHosts)
	w.mu.Unlock()
	for _, chosen := range []int{first, second} {
		attempts++
		arrivedAt := time.Now()
		r := w.attempt(w.selectors[chosen], requirement.Requirement{
			Groups: []group.Group{own}, Class: name, Urgency: urgency,
			ArrivedAt: arrivedAt, Target: arrivedAt.Add(overloadTarget), Deadline: deadline,
		})
		if r == nil {
			answered = true
			break
		}
		refusalTimes = append(refusalTimes, time.Since(arrivedAt))
		time.Sleep(min(r.RetryAfter, time.Until(deadline)/3))
	}
	took := time.Since(startedAt)
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.outcomes[name]
	o.callers++
	o.attempts += attempts
	o.refusalTimes = append(o.refusalTimes, refusalTimes...)
	switch {
	case !answered:
		o.refused++
	case took <= overloadTarget:
		o.inTime++
	default:
		o.late++
	}
}

// overloadCapacity is how many requests the endpoints can answer per second.
const overloadCapacity = overloadEndpoints * overloadSlots * float64(time.Second) / float64(overloadService)

// play lets callers arrive for some seconds at the given multiple of the capacity.
func (w *overload) play(load float64, duration time.Duration) {
	w.outcomes = map[string]*callerOutcomes{"normal": {}, "high": {}}
	random := rand.New(rand.NewPCG(7, 7))
	var callers sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		urgency := requirement.Normal
		w.mu.Lock()
		if random.Float64() < overloadHighShare {
			urgency = requirement.High
		}
		pause := time.Duration(random.ExpFloat64() / (load * overloadCapacity) * float64(time.Second))
		w.mu.Unlock()
		callers.Go(func() { w.call(random, urgency) })
		time.Sleep(pause)
	}
	callers.Wait()
}

func (o *callerOutcomes) medianRefusalTime() time.Duration {
	if len(o.refusalTimes) == 0 {
		return 0
	}
	slices.Sort(o.refusalTimes)
	return o.refusalTimes[len(o.refusalTimes)/2]
}

// String returns the outcomes for the log of a test.
func (o *callerOutcomes) String() string {
	return fmt.Sprintf("%d callers: in time %d, late %d, refused %d, %.2f attempts each, median time to a refusal %v",
		o.callers, o.inTime, o.late, o.refused, float64(o.attempts)/float64(o.callers), o.medianRefusalTime())
}

// Under overload the endpoints go on answering as many requests in time as they can, urgent requests are answered as
// long as they fit alone, and the others are refused at once. Before, every waiting request probed for itself until the
// probes were used up, and requests then went to endpoints of unknown load.
func TestOverloadDoesNotReduceGoodput(t *testing.T) {
	const duration = 4 * time.Second
	for _, load := range []float64{0.8, 1.2, 2, 3} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newOverload(t.Context())
				// The hosts learn the usual service times before the overload begins.
				w.play(0.5, 2*time.Second)
				w.play(load, duration)
				high, normal := w.outcomes["high"], w.outcomes["normal"]
				goodput := float64(high.inTime+normal.inTime) / overloadCapacity / duration.Seconds()
				highServed := float64(high.inTime+high.late) / float64(high.callers)
				t.Logf("goodput %.2f of the capacity; high %s; normal %s", goodput, high, normal)
				c.Check(goodput >= 0.9*min(load, 1), qt.IsTrue)
				c.Check(highServed >= 0.98, qt.IsTrue)
				c.Check(high.medianRefusalTime() < 20*time.Millisecond, qt.IsTrue)
				c.Check(normal.medianRefusalTime() < 20*time.Millisecond, qt.IsTrue)
			})
		})
	}
}

// Callers whose requests an endpoint refuses come back soon enough for an answer in time: 99 of 100 answers have to be.
func TestCallersRefusedByEndpointsAreAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const load, healthyEndpoints = 0.2, 4
		c := qt.New(t)
		w := newOverload(t.Context())
		w.play(load, 2*time.Second)
		for i, h := range w.listed {
			if i >= healthyEndpoints {
				w.endpoints[h.ID].refusedShare = 0.55
			}
		}
		w.play(load, 8*time.Second)
		high, normal := w.outcomes["high"], w.outcomes["normal"]
		t.Logf("high %s; normal %s", high, normal)
		inTime, late := high.inTime+normal.inTime, high.late+normal.late
		c.Assert(float64(inTime) >= 0.99*float64(inTime+late), qt.IsTrue, qt.Commentf("%d in time, %d late", inTime, late))
	})
}
