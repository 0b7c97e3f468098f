package admitter

import (
	"slices"
	"time"
)

const (
	defaultHalfLife = 500 * time.Millisecond
	defaultMinBusy  = 50 * time.Millisecond
	// scanInterval is the shortest time between two scans of the Admitter's whole queue.
	scanInterval = time.Millisecond
)

// Option changes a setting of an Admitter.
type Option func(*Admitter)

// WithHalfLife sets the half-life of the weight of a measured start; only time with a non-empty queue counts.
func WithHalfLife(d time.Duration) Option {
	return func(a *Admitter) { a.meter.halfLife = d }
}

// WithMinBusy sets how long the queue must have been non-empty before the start rate is used to refuse requests.
func WithMinBusy(d time.Duration) Option {
	return func(a *Admitter) { a.meter.minBusy = d }
}

// Admitter tracks a queue and selects the requests to refuse because they cannot be answered before their deadlines,
// the least urgent first.
//
// An Admitter is not safe for concurrent use.
type Admitter struct {
	meter meter
	// queue holds the waiting requests in the order in which they are served.
	queue        []queuedRequest
	lastSequence uint64
	scannedAt    time.Time
}

type queuedRequest struct {
	id        uint64
	urgency   int
	deadline  time.Time
	sequence  uint64
	arrivedAt time.Time
}

// compare orders by urgency, then deadline, then arrival.
func (w queuedRequest) compare(other queuedRequest) int {
	if w.urgency != other.urgency {
		return other.urgency - w.urgency
	}
	if c := w.deadline.Compare(other.deadline); c != 0 {
		return c
	}
	if w.sequence < other.sequence {
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

// Admit adds a request to the queue and returns the requests to refuse now, which may include the new one.
func (a *Admitter) Admit(now time.Time, id uint64, urgency int, deadline time.Time) []uint64 {
	a.meter.advanceTo(now, len(a.queue) > 0)
	a.lastSequence++
	w := queuedRequest{id: id, urgency: urgency, deadline: deadline, sequence: a.lastSequence, arrivedAt: now}
	at, _ := slices.BinarySearchFunc(a.queue, w, queuedRequest.compare)
	if a.willMissDeadline(now, w, at) {
		return []uint64{id}
	}
	a.queue = slices.Insert(a.queue, at, w)
	return a.refuseFrom(now, at)
}

// Start removes a request from the queue because it has been sent.
func (a *Admitter) Start(now time.Time, id uint64) {
	a.meter.advanceTo(now, len(a.queue) > 0)
	others := len(a.queue) > 1
	if w, ok := a.removeQueued(id); ok && (others || now.After(w.arrivedAt)) {
		a.meter.recordStart(w.urgency)
	}
}

// Drop removes a request from the queue that will not be sent.
func (a *Admitter) Drop(now time.Time, id uint64) {
	a.meter.advanceTo(now, len(a.queue) > 0)
	a.removeQueued(id)
}

// Finish records how long a request took from its start to its answer.
func (a *Admitter) Finish(duration time.Duration) {
	a.meter.recordService(duration)
}

// Tick returns the requests to refuse now; it must be called before requests are started.
//
// Once the start rate is known, it scans the queue at most once per millisecond.
func (a *Admitter) Tick(now time.Time) []uint64 {
	a.meter.advanceTo(now, len(a.queue) > 0)
	if a.meter.startInterval() > 0 && now.Sub(a.scannedAt) < scanInterval {
		return nil
	}
	a.scannedAt = now
	return a.refuseFrom(now, 0)
}

// Waiting returns how many requests are queued.
func (a *Admitter) Waiting() int {
	return len(a.queue)
}

// Wait returns how long a new request of the given urgency would wait behind the current queue.
func (a *Admitter) Wait(urgency int) time.Duration {
	ahead := 0
	for _, w := range a.queue {
		if w.urgency >= urgency {
			ahead++
		}
	}
	return a.meter.startInterval() * time.Duration(ahead)
}

// refuseFrom removes the requests that cannot be answered in time from the part of the queue that starts at the index,
// and returns their ids. The part before the index needs no check because the caller has not changed it.
func (a *Admitter) refuseFrom(now time.Time, from int) []uint64 {
	interval := a.meter.startInterval()
	service := a.meter.expectedServiceTime()
	if interval == 0 {
		service = 0
	}
	var refused []uint64
	kept := a.queue[:from]
	for _, w := range a.queue[from:] {
		answeredAt := now.Add(interval*time.Duration(len(kept)) + service)
		if answeredAt.After(w.deadline) {
			refused = append(refused, w.id)
			continue
		}
		kept = append(kept, w)
	}
	a.queue = kept
	return refused
}

// willMissDeadline reports whether a new request would miss its deadline. The estimate includes requests that are
// expected to arrive later and to be served before it.
func (a *Admitter) willMissDeadline(now time.Time, w queuedRequest, ahead int) bool {
	interval := a.meter.startInterval()
	if interval == 0 {
		return false
	}
	wait := time.Duration(float64(interval) * float64(ahead) / a.meter.computeShareLeft(w.urgency))
	return now.Add(wait + a.meter.expectedServiceTime()).After(w.deadline)
}

func (a *Admitter) removeQueued(id uint64) (queuedRequest, bool) {
	at := slices.IndexFunc(a.queue, func(w queuedRequest) bool { return w.id == id })
	if at < 0 {
		return queuedRequest{}, false
	}
	w := a.queue[at]
	a.queue = slices.Delete(a.queue, at, at+1)
	return w, true
}
