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

const overLimitWait = 4 * time.Millisecond

func demandOne(sequence uint64, until time.Time) demand.Demand {
	return demand.Demand{Borrower: "b", Sequence: sequence, Count: 1, Until: until}
}

func TestOnlyOverdueRightsExceedTheLimit(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithOverLimitWait(overLimitWait))
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "warm", Limit: 1, HardLimit: 2, Open: true}})
	c.Assert(l.Demand(now, demandOne(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, demandOne(2, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(overLimitWait-1)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(overLimitWait)), qt.HasLen, 1)
	c.Assert(l.Recalls(now.Add(overLimitWait)), qt.HasLen, 0, qt.Commentf("an endpoint within its hard limit is not over-lent"))
	c.Assert(l.Demand(now.Add(overLimitWait), demandOne(3, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 0, qt.Commentf("the endpoint has reached its hard limit of two"))
	c.Assert(l.Release(now.Add(time.Second), "b", "warm", 1), qt.HasLen, 1)
}

func TestColdEndpointsNeverExceedTheirLimit(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithOverLimitWait(overLimitWait))
	l.AllowCold(until)
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "cold", Limit: 1, HardLimit: 8, Cold: true, Open: true}})
	c.Assert(l.Demand(now, demandOne(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, demandOne(2, until)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 0)
}

// An endpoint that has become warm must stay within its limit while a cold credit is outstanding, because a request on
// that credit may find the endpoint cold again.
func TestLimitHoldsWhileColdCreditsAreOutstanding(t *testing.T) {
	c := qt.New(t)
	now := at(0)
	until := now.Add(time.Minute)
	l := lender.New(lender.WithOverLimitWait(overLimitWait), lender.WithColdValidity(time.Second))
	l.AllowCold(until)
	l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 1, Cold: true, Open: true}})
	c.Assert(l.Demand(now, demandOne(1, until)), qt.HasLen, 1)
	c.Assert(l.Demand(now, demandOne(2, until)), qt.HasLen, 0)
	c.Assert(l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 1, HardLimit: 4, Open: true}}), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second-1)), qt.HasLen, 0)
	c.Assert(l.Tick(now.Add(time.Second)), qt.HasLen, 1)
}

// For any order of demands, releases and waits, the credits lent must stay within the hard limit, and only rights that
// have waited long enough may exceed the limit.
func TestLentStaysWithinHardLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(0)
		l := lender.New(lender.WithOverLimitWait(overLimitWait))
		l.SetCapacities(now, []capacity.Capacity{{Endpoint: "a", Limit: 2, HardLimit: 5, Open: true}})
		demandedAt := make(map[uint64]time.Time)
		lent, sequence := 0, uint64(0)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			credits := l.Tick(now)
			if rapid.Bool().Draw(t, "ask") {
				sequence++
				demandedAt[sequence] = now
				credits = append(credits, l.Demand(now, demandOne(sequence, now.Add(time.Minute)))...)
			} else if lent > 0 {
				lent--
				credits = append(credits, l.Release(now, "b", "a", 1)...)
			}
			for _, granted := range credits {
				for i := range uint64(granted.Count) {
					lent++
					waited := now.Sub(demandedAt[granted.Sequence+i])
					if lent > 5 || (lent > 2 && waited < overLimitWait) {
						t.Fatalf("%d credits are lent after a grant to a right that had waited %v", lent, waited)
					}
				}
			}
		}
	})
}
