package offerlimiter_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/models/stopper"
	"poplarhook.example/poplarhook/services/offerlimiter"
)

// waitingBinder binds once it is released, and fails if the context ends before.
type waitingBinder struct {
	waits    chan struct{}
	released chan struct{}
	finished atomic.Int64
}

func newWaitingBinder() *waitingBinder {
	return &waitingBinder{waits: make(chan struct{}, 1), released: make(chan struct{})}
}

func (b *waitingBinder) Bind(ctx context.Context, _ requirement.Requirement) (binding.Binding, error) {
	b.waits <- struct{}{}
	select {
	case <-b.released:
		return binding.Binding{}, nil
	case <-ctx.Done():
		return binding.Binding{}, ctx.Err()
	}
}

func (b *waitingBinder) Finish(_ binding.Binding, r report.Report) {
	if r.Unsent {
		b.finished.Add(1)
	}
}

// deadlines before and after the end of the stop.
const (
	shortDeadline = 10 * time.Second
	longDeadline  = time.Hour
	stopTime      = 30 * time.Second
)

// bind starts to bind a request with the deadline and returns where the error will arrive.
func bind(ctx context.Context, l *offerlimiter.Limiter, deadline time.Duration) <-chan error {
	bound := make(chan error, 1)
	go func() {
		_, err := l.Bind(ctx, requirement.Requirement{Deadline: time.Now().Add(deadline)})
		bound <- err
	}()
	return bound
}

func stop(l *offerlimiter.Limiter, untilLastOffer time.Duration) {
	now := time.Now()
	l.Stop(now, stopper.New(now.Add(untilLastOffer), now.Add(stopTime)))
}

// A request that waits for an endpoint when the last offer of a stop comes must be refused as not run. It would be sent
// later otherwise and cut off while it runs.
func TestWaitingRequestIsRefusedAtTheLastOffer(t *testing.T) {
	c := qt.New(t)
	var refused atomic.Int64
	b := newWaitingBinder()
	l := offerlimiter.New(b, time.Now, func(string) { refused.Add(1) })
	long := bind(t.Context(), l, longDeadline)
	<-b.waits
	short := bind(t.Context(), l, shortDeadline)
	<-b.waits
	stop(l, 20*time.Millisecond)
	err := <-long
	c.Assert(errors.Is(err, refusal.ErrNotRun), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(refused.Load(), qt.Equals, int64(1))
	close(b.released)
	c.Assert(<-short, qt.IsNil)
	c.Assert(b.finished.Load(), qt.Equals, int64(0))
	c.Assert(errors.Is(<-bind(t.Context(), l, longDeadline), refusal.ErrNotRun), qt.IsTrue)
}

// An endpoint that is bound just when the last offer has passed must get its slot back.
func TestBindingAfterTheLastOfferIsEnded(t *testing.T) {
	c := qt.New(t)
	b := newWaitingBinder()
	now := time.Now()
	var late atomic.Bool
	clock := func() time.Time {
		if late.Load() {
			return now.Add(time.Minute)
		}
		return now
	}
	l := offerlimiter.New(b, clock, func(string) {})
	l.Stop(now, stopper.New(now.Add(time.Second), now.Add(2*time.Second)))
	bound := bind(t.Context(), l, longDeadline)
	<-b.waits
	late.Store(true)
	close(b.released)
	c.Assert(errors.Is(<-bound, refusal.ErrNotRun), qt.IsTrue)
	c.Assert(b.finished.Load(), qt.Equals, int64(1))
}

// The end of the caller's context is not the end of a stop.
func TestCallerThatLeavesIsNotRefusedForAStop(t *testing.T) {
	c := qt.New(t)
	b := newWaitingBinder()
	l := offerlimiter.New(b, time.Now, func(string) {})
	ctx, cancel := context.WithCancel(t.Context())
	bound := bind(ctx, l, longDeadline)
	<-b.waits
	stop(l, time.Minute)
	cancel()
	c.Assert(<-bound, qt.ErrorIs, context.Canceled)
}
