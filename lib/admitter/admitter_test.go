package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/admitter"
	"poplarhook.example/lib/waitlist"
)

var start = time.Unix(1000, 0)

const (
	ms          = time.Millisecond
	slots       = 24
	meanService = 4 * ms
	span        = 4 * time.Second
	warmUp      = time.Second
)

// slotEnds is a heap of the times at which slots become free.
type slotEnds []time.Duration

func (e slotEnds) Len() int           { return len(e) }
func (e slotEnds) Less(i, j int) bool { return e[i] < e[j] }
func (e slotEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *slotEnds) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *slotEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type request struct {
	arrived time.Duration
	until   time.Duration
	urgency int
}

// queueSimulation simulates a queue in front of some slots, with or without an Admitter.
type queueSimulation struct {
	random   *rand.Rand
	admitter *admitter.Admitter
	waiting  *waitlist.Waitlist[uint64, request]
	urgency  func(id uint64) int
	ends     slotEnds
	busy     int

	inTime, late, refused, expired int
	// submitted and answered count the requests of each urgency.
	submitted, answered [3]int
	refusalWait         time.Duration
}

func (q *queueSimulation) refuse(now time.Duration, ids []uint64) {
	for _, id := range ids {
		r, _ := q.waiting.Remove(id)
		q.refused++
		q.refusalWait += now - r.arrived
	}
}

// startWaiting starts waiting requests while slots are free.
func (q *queueSimulation) startWaiting(now time.Duration) {
	if q.admitter != nil {
		q.refuse(now, q.admitter.Tick(start.Add(now)))
	}
	q.waiting.Expire(start.Add(now), func(uint64, request) { q.expired++ })
	for q.busy < slots {
		id, r, ok := q.waiting.FirstAccepted(func(uint64, request, int) bool { return true })
		if !ok {
			return
		}
		q.waiting.Remove(id)
		service := time.Duration(q.random.ExpFloat64() * float64(meanService))
		if q.admitter != nil {
			q.admitter.Start(start.Add(now), id)
			q.admitter.Finish(service)
		}
		q.busy++
		heap.Push(&q.ends, now+service)
		q.countAnswer(r, now+service)
	}
}

func (q *queueSimulation) countAnswer(r request, answered time.Duration) {
	switch {
	case answered < warmUp:
	case answered > r.until:
		q.late++
	default:
		q.inTime++
		q.answered[r.urgency]++
	}
}

func (q *queueSimulation) arrive(id uint64, now time.Duration) {
	wait := 30*ms + time.Duration(q.random.Int64N(int64(170*ms)))
	r := request{arrived: now, until: now + wait, urgency: q.urgency(id)}
	if now >= warmUp {
		q.submitted[r.urgency]++
	}
	q.waiting.Push(id, r, r.urgency, start.Add(r.until))
	if q.admitter != nil {
		q.refuse(now, q.admitter.Admit(start.Add(now), id, r.urgency, start.Add(r.until)))
	}
	q.startWaiting(now)
}

// run sends requests at a rate of load times the capacity and returns the rate of requests answered in time as a share
// of the capacity.
func (q *queueSimulation) run(load float64) float64 {
	q.waiting = waitlist.New[uint64, request]()
	capacity := slots / meanService.Seconds()
	now := time.Duration(0)
	for id := uint64(1); now < span; id++ {
		now += time.Duration(q.random.ExpFloat64() / (load * capacity) * float64(time.Second))
		for len(q.ends) > 0 && q.ends[0] <= now {
			end := heap.Pop(&q.ends).(time.Duration)
			q.busy--
			q.startWaiting(end)
		}
		q.arrive(id, now)
	}
	return float64(q.inTime) / (capacity * (span - warmUp).Seconds())
}

func mixedUrgency(id uint64) int { return int(id % 3) }

func equalUrgency(uint64) int { return 1 }

func newQueueSimulation(seed uint64, urgency func(id uint64) int, a *admitter.Admitter) *queueSimulation {
	return &queueSimulation{random: rand.New(rand.NewPCG(seed, 1)), urgency: urgency, admitter: a}
}

func TestGoodputUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		for name, urgency := range map[string]func(id uint64) int{"mixed": mixedUrgency, "equal": equalUrgency} {
			q := newQueueSimulation(seed, urgency, admitter.New())
			goodput := q.run(2)
			wait := q.refusalWait / time.Duration(q.refused)
			plain := newQueueSimulation(seed, urgency, nil).run(2)
			t.Logf("%s, seed %d: goodput %.3f (without %.3f), in time %d, late %d, refused %d after %v on average",
				name, seed, goodput, plain, q.inTime, q.late, q.refused, wait)
			qt.Assert(t, goodput > 0.9, qt.IsTrue)
			qt.Assert(t, q.expired, qt.Equals, 0)
			if high := float64(q.answered[2]); high < 0.95*float64(q.submitted[2]) {
				t.Fatalf("urgent: %v of %d answered in time", high, q.submitted[2])
			}
		}
	}
}

func TestNoRequestRefusedWithinCapacity(t *testing.T) {
	q := newQueueSimulation(1, mixedUrgency, admitter.New())
	q.run(0.6)
	qt.Assert(t, q.refused, qt.Equals, 0)
}

func TestLeastUrgentRefusedFirst(t *testing.T) {
	c := qt.New(t)
	a := admitter.New(admitter.WithMinBusy(10 * ms))
	// The Admitter measures one start every 10 ms and a service time of 2 ms.
	now := start
	a.Admit(now, 1, 1, now.Add(time.Hour))
	for i := range uint64(10) {
		a.Admit(now, 100+i, 1, now.Add(time.Hour))
		now = now.Add(10 * ms)
		a.Start(now, 100+i)
		a.Finish(2 * ms)
	}
	a.Drop(now, 1)
	c.Assert(a.Waiting(), qt.Equals, 0)
	c.Assert(a.Admit(now, 2, 0, now.Add(13*ms)), qt.HasLen, 0)
	c.Assert(a.Admit(now, 3, 0, now.Add(12*ms)), qt.DeepEquals, []uint64{2})
	c.Assert(a.Admit(now, 4, 2, now.Add(30*ms)), qt.DeepEquals, []uint64{3})
	c.Assert(a.Admit(now, 5, 0, now.Add(5*ms)), qt.DeepEquals, []uint64{5})
	c.Assert(a.Wait(1).Round(ms), qt.Equals, 10*ms)
	c.Assert(a.Tick(now.Add(29*ms)), qt.DeepEquals, []uint64{4})
}
