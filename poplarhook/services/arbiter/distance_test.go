package arbiter_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/arbiter"
)

const (
	distantSlots       = 4
	distantServiceTime = 4 * time.Millisecond
	distantDeadline    = 3 * time.Second
	// sameZoneDelay is the network delay inside a region in the simulation.
	sameZoneDelay = 200 * time.Microsecond
	// coordinatorTick is how often the coordinator processes a group in which something waits.
	coordinatorTick = 2 * time.Millisecond
)

// event is something that happens at a point in time of a distantSimulation.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// distantEndpoint serves up to distantSlots requests at a time and queues the others.
type distantEndpoint struct {
	running int
	queue   []func()
}

// distantSimulation plays a group whose owner and endpoints are in one region and whose requests arrive at hosts of
// other regions. Every message takes the network delay between its two regions.
type distantSimulation struct {
	now       time.Time
	events    eventQueue
	sequence  int
	random    *rand.Rand
	delay     time.Duration
	owner     string
	remote    []string
	arbiters  map[string]*arbiter.Arbiter
	endpoints map[string]*distantEndpoint
	// stalledUntil is the time until which a host does nothing; what reaches it before waits.
	stalledUntil map[string]time.Time
	arrivedAt    map[uint64]time.Time
	latencies    []time.Duration
	expired      int
	lastID       uint64
}

func newDistantSimulation(delay time.Duration, seed uint64) *distantSimulation {
	s := &distantSimulation{
		now: startTime, random: rand.New(rand.NewPCG(seed, 0)), delay: delay, owner: "home",
		remote: []string{"remote-0", "remote-1", "remote-2", "remote-3"}, arbiters: map[string]*arbiter.Arbiter{},
		endpoints: map[string]*distantEndpoint{}, stalledUntil: map[string]time.Time{}, arrivedAt: map[uint64]time.Time{},
	}
	var listed []host.Host
	for _, id := range []string{"payments-0", "payments-1"} {
		s.endpoints[id] = &distantEndpoint{}
		listed = append(listed, host.Host{ID: id, Slots: distantSlots, AvailabilityZone: "pohja-a"})
	}
	for _, id := range append([]string{s.owner}, s.remote...) {
		a := arbiter.New(id, group.Group{Service: "grant_payments", Region: "pohja"})
		s.arbiters[id] = a
		s.perform(id, a.SetEndpoints(s.now, listed, noZonesOut))
	}
	for _, id := range append([]string{s.owner}, s.remote...) {
		s.perform(id, s.arbiters[id].SetOwner(s.now, s.owner, alwaysConnected))
		s.scheduleTick(id)
	}
	return s
}

func (s *distantSimulation) schedule(after time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(after), sequence: s.sequence, run: run})
}

// scheduleAt runs something at a host, once a stall of the host has ended.
func (s *distantSimulation) scheduleAt(id string, after time.Duration, run func()) {
	s.schedule(after, func() {
		if left := s.stalledUntil[id].Sub(s.now); left > 0 {
			s.scheduleAt(id, left, run)
			return
		}
		run()
	})
}

func (s *distantSimulation) scheduleTick(id string) {
	s.scheduleAt(id, coordinatorTick, func() {
		a := s.arbiters[id]
		if a.IsOwner() {
			s.perform(id, a.AllowCold(s.now, s.now.Add(time.Second)))
		}
		s.perform(id, a.Tick(s.now))
		s.scheduleTick(id)
	})
}

func (s *distantSimulation) delayFrom(id string) time.Duration {
	if id == s.owner {
		return sameZoneDelay
	}
	return s.delay
}

func (s *distantSimulation) perform(id string, e effect.Effect) {
	for _, f := range e.Frames {
		s.scheduleAt(f.To, max(s.delayFrom(id), s.delayFrom(f.To)), func() {
			s.perform(f.To, s.arbiters[f.To].Receive(s.now, id, f.Frame))
		})
	}
	for _, b := range e.Bound {
		s.schedule(s.delayFrom(id), func() {
			s.serve(s.endpoints[b.Endpoint], func() { s.scheduleAt(id, s.delayFrom(id), func() { s.finish(id, b.ID, b.Endpoint, b.Cold) }) })
		})
	}
	s.expired += len(e.Expired)
}

// serve runs a request at an endpoint and then calls answered.
func (s *distantSimulation) serve(e *distantEndpoint, answered func()) {
	if e.running == distantSlots {
		e.queue = append(e.queue, answered)
		return
	}
	e.running++
	s.schedule(distantServiceTime, func() {
		answered()
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.serve(e, next)
		}
	})
}

func (s *distantSimulation) finish(id string, request uint64, endpoint string, cold bool) {
	s.latencies = append(s.latencies, s.now.Sub(s.arrivedAt[request]))
	s.perform(id, s.arbiters[id].Finish(s.now, endpoint, cold, report.Report{Status: 200, HasLoad: true, Incarnation: "first"}))
}

// load makes requests arrive at the remote hosts in turn, at random intervals with the given mean rate per second.
func (s *distantSimulation) load(rate float64, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		s.lastID++
		request, id := s.lastID, s.remote[s.lastID%uint64(len(s.remote))]
		s.scheduleAt(id, at, func() {
			s.arrivedAt[request] = s.now
			s.perform(id, s.arbiters[id].Bind(s.now, request, requirement.Requirement{
				Deadline: s.now.Add(distantDeadline), Urgency: requirement.Normal,
			}))
		})
	}
}

func (s *distantSimulation) advance(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && !s.events[0].at.After(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *distantSimulation) p99() time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(s.latencies)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}

// stallRepeatedly stalls every host for the given time in each interval, as a busy machine does.
func (s *distantSimulation) stallRepeatedly(stall, interval time.Duration) {
	for i, id := range append([]string{s.owner}, s.remote...) {
		s.schedule(time.Duration(i)*interval/7, func() { s.stallHost(id, stall, interval) })
	}
}

func (s *distantSimulation) stallHost(id string, stall, interval time.Duration) {
	s.stalledUntil[id] = s.now.Add(stall)
	s.schedule(interval, func() { s.stallHost(id, stall, interval) })
}

// Hosts far from the owner and the endpoints get the requests of their callers served within the target, also on a busy
// machine, at up to a quarter of what the endpoints can answer. A credit that crosses the network for each request is
// on the way for most of the time.
func TestDistantRequestsAreServedWithinTarget(t *testing.T) {
	const latencyTarget = 300 * time.Millisecond
	for name, test := range map[string]struct {
		delay time.Duration
		stall time.Duration
		rate  float64
		seed  uint64
	}{
		"12 ms with stalls": {delay: 12 * time.Millisecond, stall: 20 * time.Millisecond, rate: 330, seed: 1},
		"24 ms":             {delay: 24 * time.Millisecond, rate: 520},
		"30 ms":             {delay: 30 * time.Millisecond, rate: 420, seed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDistantSimulation(test.delay, test.seed)
			// The endpoints warm up at a low rate.
			s.load(20, 5*time.Second)
			s.advance(6 * time.Second)
			if test.stall > 0 {
				s.stallRepeatedly(test.stall, 3*test.stall/2)
			}
			s.load(test.rate, 6*time.Second)
			s.advance(2 * time.Second)
			s.latencies = nil
			s.advance(4 * time.Second)
			qt.Check(t, s.expired, qt.Equals, 0)
			qt.Check(t, s.p99() <= latencyTarget, qt.IsTrue, qt.Commentf("p99 %v of %d served", s.p99(), len(s.latencies)))
		})
	}
}
