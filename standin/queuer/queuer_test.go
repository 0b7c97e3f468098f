package queuer_test

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/standin/queuer"
)

func TestWaiterGetsSlotFromTimeOfRelease(t *testing.T) {
	c := qt.New(t)
	q := queuer.New(1, 1)
	at := time.Unix(100, 0)
	_, err := q.Acquire(t.Context(), at)
	c.Assert(err, qt.IsNil)
	started := make(chan time.Time)
	go func() {
		start, _ := q.Acquire(context.Background(), at.Add(time.Second))
		started <- start
	}()
	for _, waiting := q.Load(); waiting == 0; _, waiting = q.Load() {
		runtime.Gosched()
	}
	_, err = q.Acquire(t.Context(), at)
	c.Assert(err, qt.ErrorIs, queuer.ErrFull)
	q.Release(at.Add(3 * time.Second))
	c.Assert(<-started, qt.Equals, at.Add(3*time.Second))
}

func TestCancelledWaitersKeepNoSlot(t *testing.T) {
	c := qt.New(t)
	const slots, requests = 2, 2000
	q := queuer.New(slots, requests)
	var running, peak atomic.Int64
	var requestsDone sync.WaitGroup
	for range requests {
		requestsDone.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(2000))*time.Microsecond)
			defer cancel()
			if _, err := q.Acquire(ctx, time.Now()); err != nil {
				return
			}
			if n := running.Add(1); n > peak.Load() {
				peak.Store(n)
			}
			running.Add(-1)
			q.Release(time.Now())
		})
	}
	requestsDone.Wait()
	occupied, waiting := q.Load()
	c.Assert(occupied, qt.Equals, 0)
	c.Assert(waiting, qt.Equals, 0)
	c.Assert(peak.Load() <= slots, qt.IsTrue)
}
