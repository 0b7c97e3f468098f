package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrFull means that as many requests wait as may.
var ErrFull = errors.New("queue is full")

// Queuer holds the slots of one endpoint and the requests that wait for them.
type Queuer struct {
	limit   int
	mu      sync.Mutex
	slots   int
	running int
	waiting []*waiter
}

type waiter struct {
	arrived time.Time
	started chan time.Time
}

// New returns a queuer of the given slots where at most limit requests wait.
func New(slots, limit int) *Queuer {
	return &Queuer{slots: slots, limit: limit}
}

// Load returns how many requests run and how many wait.
func (q *Queuer) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// Acquire waits for a slot and returns the time from which the request has it; it returns ErrFull or the context's cause.
//
// That time may lie a little in the past: a slot passes on at the time when its work was due, however late the timer fired.
func (q *Queuer) Acquire(ctx context.Context, arrived time.Time) (time.Time, error) {
	q.mu.Lock()
	if q.running < q.slots {
		q.running++
		q.mu.Unlock()
		return arrived, nil
	}
	if len(q.waiting) >= q.limit {
		q.mu.Unlock()
		return time.Time{}, ErrFull
	}
	w := &waiter{arrived: arrived, started: make(chan time.Time, 1)}
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	select {
	case start := <-w.started:
		return start, nil
	case <-ctx.Done():
		q.leave(w)
		return time.Time{}, context.Cause(ctx)
	}
}

// Release gives a slot back that was free from the given time.
func (q *Queuer) Release(free time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	if next.arrived.After(free) {
		free = next.arrived
	}
	next.started <- free
}

// leave takes a waiter out, or passes on the slot that it was given meanwhile.
func (q *Queuer) leave(left *waiter) {
	q.mu.Lock()
	for i, w := range q.waiting {
		if w == left {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.mu.Unlock()
			return
		}
	}
	q.mu.Unlock()
	q.Release(<-left.started)
}
