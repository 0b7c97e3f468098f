package borrower_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/borrower"
	"poplarhook.example/lib/credit"
)

// The farther away the owner is, the more requests a scarce credit serves before it is released.
func TestScarceCreditOfDistantOwnerIsUsedAgain(t *testing.T) {
	const serviceTime = 30 * time.Millisecond
	for _, test := range []struct {
		transferTime time.Duration
		requests     int
	}{{0, 1}, {5 * time.Millisecond, 1}, {24 * time.Millisecond, 4}, {80 * time.Millisecond, 11}} {
		now := time.Unix(1000, 0)
		b := borrower.New("b1", borrower.WithMaxLocalWait(0))
		for id := range uint64(20) {
			b.Submit(now, id+1, now.Add(time.Minute), 1, "")
		}
		now = now.Add(test.transferTime)
		bound := len(b.Accept(now, credit.Credit{Endpoint: "e1", Count: 1, Sequence: 1, Scarce: true}).Bound)
		for released := false; !released; {
			now = now.Add(serviceTime)
			b.Recall(now)
			a := b.Finish(now, "e1", false)
			bound += len(a.Bound)
			released = len(a.Releases) > 0
		}
		qt.Check(t, bound, qt.Equals, test.requests, qt.Commentf("transfer time %v", test.transferTime))
	}
}

// A short transfer time that was measured long ago no longer counts once the owner is farther away.
func TestTransferTimeFollowsTheOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	b := borrower.New("b1", borrower.WithMaxLocalWait(0))
	borrow := func(id uint64, transferTime time.Duration) {
		b.Submit(now, id, now.Add(time.Minute), 1, "")
		now = now.Add(transferTime)
		b.Accept(now, credit.Credit{Endpoint: "e1", Count: 1, Sequence: id, Scarce: true})
	}
	isKept := func(heldFor time.Duration) bool {
		b.Submit(now, 1000, now.Add(time.Minute), 1, "")
		now = now.Add(heldFor)
		b.Recall(now)
		return len(b.Finish(now, "e1", false).Releases) == 0
	}
	borrow(1, time.Millisecond)
	qt.Assert(t, isKept(30*time.Millisecond), qt.IsFalse)
	b.Cancel(now, 1000)
	for id := uint64(3); id < 15; id++ {
		borrow(id, 40*time.Millisecond)
		b.Finish(now, "e1", false)
		now = now.Add(time.Second)
	}
	borrow(15, 40*time.Millisecond)
	qt.Assert(t, isKept(30*time.Millisecond), qt.IsTrue)
}
