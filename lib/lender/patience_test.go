package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
)

const patience = 4 * time.Millisecond

func one(sequence uint64, until time.Time) demand.Demand {
	return demand.Demand{Borrower: "b", Sequence: sequence, Count: 1, Until: until}
}

func TestOnlyRightsThatWaitedForLongGoBeyondTheLimit(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithPatience(patience))
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "warm", Limit: 1, Most: 2, Open: true}})
	c.Assert(l.Demand(now, one(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, one(2, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(patience-1)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(patience)), qt.HasLen, 1)
	c.Assert(l.Recalls(now.Add(patience)), qt.HasLen, 0, qt.Commentf("what was lent beyond the limit is no excess"))
	c.Assert(l.Demand(now.Add(patience), one(3, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 0, qt.Commentf("two are lent of an endpoint that bears two at most"))
	c.Assert(l.Release(now.Add(time.Second), "b", "warm", 1), qt.HasLen, 1)
}

func TestColdEndpointsHaveNothingBeyondTheirLimit(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithPatience(patience))
	l.AllowCold(until)
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "cold", Limit: 1, Most: 8, Cold: true, Open: true}})
	c.Assert(l.Demand(now, one(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, one(2, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 0)
}

// An endpoint that turned warm gets nothing beyond its limit either while a cold credit may still meet it cold again.
func TestNothingGoesBeyondTheLimitWhileColdCreditsAreOut(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithPatience(patience), lender.WithColdValidity(time.Second))
	l.AllowCold(until)
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 1, Cold: true, Open: true}})
	c.Assert(l.Demand(now, one(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, one(2, until)), qt.HasLen, 0)
	c.Assert(l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 1, Most: 4, Open: true}}), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second-1)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 1)
}

// However rights come, go and wait, what is lent stays within Most, and beyond the limit only for those that waited.
func TestLentStaysWithinMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		l := lender.New(lender.WithPatience(patience))
		l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 2, Most: 5, Open: true}})
		asked := make(map[uint64]time.Time)
		lent, sequence := 0, uint64(0)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			credits := l.Tick(now)
			if rapid.Bool().Draw(t, "ask") {
				sequence++
				asked[sequence] = now
				credits = append(credits, l.Demand(now, one(sequence, now.Add(time.Minute)))...)
			} else if lent > 0 {
				lent--
				credits = append(credits, l.Release(now, "b", "a", 1)...)
			}
			for _, granted := range credits {
				for i := range uint64(granted.Count) {
					lent++
					waited := now.Sub(asked[granted.Sequence+i])
					if lent > 5 || (lent > 2 && waited < patience) {
						t.Fatalf("%d lent to a right that waited %v", lent, waited)
					}
				}
			}
		}
	})
}
