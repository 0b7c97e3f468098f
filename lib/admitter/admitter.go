package admitter

import (
	"slices"
	"time"
)

const (
	defaultHalfLife = 500 * time.Millisecond
	defaultMinBusy  = 50 * time.Millisecond
	// walkEvery is the least time between two looks at the whole queue.
	walkEvery = time.Millisecond
)

// Option changes a setting of an Admitter.
type Option func(*Admitter)

// WithHalfLife sets the age, in time with a queue, at which a measured start weighs half.
func WithHalfLife(d time.Duration) Option {
	return func(a *Admitter) { a.meter.halfLife = d }
}

// WithMinBusy sets how long there must have been a queue before anything is refused.
func WithMinBusy(d time.Duration) Option {
	return func(a *Admitter) { a.meter.minBusy = d }
}

// Admitter follows a queue and names the requests that cannot be answered in time, the least urgent first.
//
// An Admitter is not safe for concurrent use.
type Admitter struct {
	meter meter
	// queue holds what waits in the order in which it is served.
	queue    []waiter
	arrivals uint64
	walkedAt time.Time
}

type waiter struct {
	id      uint64
	urgency int
	until   time.Time
	arrival uint64
	since   time.Time
}

// compare orders by urgency, then deadline, then arrival.
func (w waiter) compare(other waiter) int {
	if w.urgency != other.urgency {
		return other.urgency - w.urgency
	}
	if c := w.until.Compare(other.until); c != 0 {
		return c
	}
	if w.arrival < other.arrival {
		return -1
	}
	return 1
}

// New returns an Admitter with an empty queue that has measured nothing.
func New(options ...Option) *Admitter {
	a := &Admitter{meter: meter{halfLife: defaultHalfLife, minBusy: defaultMinBusy}}
	for _, option := range options {
		option(a)
	}
	return a
}

// Admit adds a request to the queue and returns those to refuse now, which may include it.
func (a *Admitter) Admit(now time.Time, id uint64, urgency int, until time.Time) []uint64 {
	a.meter.pass(now, len(a.queue) > 0)
	a.arrivals++
	w := waiter{id: id, urgency: urgency, until: until, arrival: a.arrivals, since: now}
	at, _ := slices.BinarySearchFunc(a.queue, w, waiter.compare)
	if a.isHopeless(now, w, at) {
		return []uint64{id}
	}
	a.queue = slices.Insert(a.queue, at, w)
	return a.refuseFrom(now, at)
}

// Start takes a request out of the queue because it has been sent.
func (a *Admitter) Start(now time.Time, id uint64) {
	a.meter.pass(now, len(a.queue) > 0)
	others := len(a.queue) > 1
	if w, ok := a.remove(id); ok && (others || now.After(w.since)) {
		a.meter.start(w.urgency)
	}
}

// Drop takes a request out of the queue that is not sent.
func (a *Admitter) Drop(now time.Time, id uint64) {
	a.meter.pass(now, len(a.queue) > 0)
	a.remove(id)
}

// Finish notes how long a request took from its start to its answer.
func (a *Admitter) Finish(took time.Duration) {
	a.meter.serve(took)
}

// Tick returns the requests to refuse by now; it is to be called before requests are started.
//
// Once the service rate is known it looks at most once each millisecond.
func (a *Admitter) Tick(now time.Time) []uint64 {
	a.meter.pass(now, len(a.queue) > 0)
	if a.meter.interval() > 0 && now.Sub(a.walkedAt) < walkEvery {
		return nil
	}
	a.walkedAt = now
	return a.refuseFrom(now, 0)
}

// Waiting returns how many requests are queued.
func (a *Admitter) Waiting() int {
	return len(a.queue)
}

// Wait returns how long a request of the given urgency would wait behind the present queue.
func (a *Admitter) Wait(urgency int) time.Duration {
	ahead := 0
	for _, w := range a.queue {
		if w.urgency >= urgency {
			ahead++
		}
	}
	return a.meter.interval() * time.Duration(ahead)
}

// refuseFrom looks at the queue from an index on; what is ahead of that is as it was.
func (a *Admitter) refuseFrom(now time.Time, from int) []uint64 {
	interval := a.meter.interval()
	service := a.meter.service()
	if interval == 0 {
		service = 0
	}
	var refused []uint64
	kept := a.queue[:from]
	for _, w := range a.queue[from:] {
		answered := now.Add(interval*time.Duration(len(kept)) + service)
		if answered.After(w.until) {
			refused = append(refused, w.id)
			continue
		}
		kept = append(kept, w)
	}
	a.queue = kept
	return refused
}

// isHopeless foresees that a new request would be overtaken by later ones until its time is over.
func (a *Admitter) isHopeless(now time.Time, w waiter, ahead int) bool {
	interval := a.meter.interval()
	if interval == 0 {
		return false
	}
	wait := time.Duration(float64(interval) * float64(ahead) / a.meter.share(w.urgency))
	return now.Add(wait + a.meter.service()).After(w.until)
}

func (a *Admitter) remove(id uint64) (waiter, bool) {
	at := slices.IndexFunc(a.queue, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return waiter{}, false
	}
	w := a.queue[at]
	a.queue = slices.Delete(a.queue, at, at+1)
	return w, true
}
