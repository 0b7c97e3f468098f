package reserver_test

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/reserver"
)

func TestReserveFailsOnceBytesAreUsedUp(t *testing.T) {
	r := reserver.New(10)
	qt.Assert(t, r.Reserve(7), qt.IsTrue)
	qt.Assert(t, r.Reserve(4), qt.IsFalse)
	qt.Assert(t, r.Reserve(3), qt.IsTrue)
	r.Release(7)
	qt.Assert(t, r.Reserve(7), qt.IsTrue)
	qt.Assert(t, r.Reserve(1), qt.IsFalse)
}

func TestConcurrentReservationsStayWithinTheAmount(t *testing.T) {
	r := reserver.New(100)
	var held, peak atomic.Int64
	var users sync.WaitGroup
	for range 50 {
		users.Go(func() {
			for range 200 {
				if !r.Reserve(30) {
					continue
				}
				if now := held.Add(30); now > peak.Load() {
					peak.Store(now)
				}
				held.Add(-30)
				r.Release(30)
			}
		})
	}
	users.Wait()
	qt.Check(t, peak.Load() <= 100, qt.IsTrue, qt.Commentf("%d bytes at once", peak.Load()))
	qt.Check(t, r.Reserve(100), qt.IsTrue)
}
