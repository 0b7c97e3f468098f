package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrFull means that the maximum number of requests is already waiting for a slot.
var ErrFull = errors.New("queue is full")

// Queuer assigns the slots of one endpoint to requests, and queues the requests that wait for a slot.
type Queuer struct {
	waitingLimit int
	mu           sync.Mutex
	slots        int
	running      int
	waiting      []*waiter
}

type waiter struct {
	arrived time.Time
	started chan time.Time
}

// New returns a queuer with the given number of slots, for which at most limit requests may wait.
func New(slots, limit int) *Queuer {
	return &Queuer{slots: slots, waitingLimit: limit}
}

// Load returns how many requests run and how many wait.
func (q *Queuer) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// Acquire waits for a slot and returns the time from which the request has the slot. It returns ErrFull when the queue
// is full, and the cause of the context when the context ends first.
//
// The returned time may be slightly in the past: the next request gets a slot from the time at which the previous
// request was due to finish, even if the timer of that request fired late.
func (q *Queuer) Acquire(ctx context.Context, arrived time.Time) (time.Time, error) {
	q.mu.Lock()
	if q.running < q.slots {
		q.running++
		q.mu.Unlock()
		return arrived, nil
	}
	if len(q.waiting) >= q.waitingLimit {
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
		q.removeWaiter(w)
		return time.Time{}, context.Cause(ctx)
	}
}

// Release releases a slot that has been free since the given time.
func (q *Queuer) Release(freeSince time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	if next.arrived.After(freeSince) {
		freeSince = next.arrived
	}
	next.started <- freeSince
}

// removeWaiter removes a waiter from the queue, or releases the slot that the waiter received in the meantime.
func (q *Queuer) removeWaiter(removed *waiter) {
	q.mu.Lock()
	for i, w := range q.waiting {
		if w == removed {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.mu.Unlock()
			return
		}
	}
	q.mu.Unlock()
	q.Release(<-removed.started)
}
