package lender

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/demand"
)

// The arrivals of rights that expire without a grant must be removed, or they would use more and more memory.
func TestExpiredArrivalsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.ReserveFor("other")
	for sequence := range uint64(1000) {
		now = now.Add(time.Millisecond)
		l.Demand(now, demand.Demand{Borrower: "b", Sequence: sequence + 1, Count: 1, Until: now.Add(10 * time.Millisecond)})
	}
	qt.Assert(t, l.Waiting() <= 10, qt.IsTrue)
	qt.Assert(t, len(l.arrivals) <= 11, qt.IsTrue, qt.Commentf("%d arrivals kept", len(l.arrivals)))
}
