package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
)

func TestReservationDelaysOtherBorrowers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := lender.New()
	l.AllowCold(now.Add(time.Minute))
	l.SetCapacities(now, []capacity.Capacity{
		{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
		{Endpoint: "warm", Limit: 1, Open: true},
	})
	l.ReserveFor("own")
	until := now.Add(time.Second)
	qt.Assert(t, l.Demand(now, demand.Demand{Borrower: "peer", Sequence: 1, Count: 1, Until: until}), qt.HasLen, 0)
	granted := l.Demand(now, demand.Demand{Borrower: "own", Sequence: 1, Count: 1, Until: until.Add(time.Second)})
	qt.Assert(t, granted, qt.HasLen, 1)
	qt.Check(t, granted[0].Borrower, qt.Equals, "own")
	qt.Check(t, l.Tick(now), qt.HasLen, 0)
	l.ReserveFor("")
	granted = l.Tick(now)
	qt.Assert(t, granted, qt.HasLen, 1)
	qt.Check(t, granted[0].Borrower, qt.Equals, "peer")
	qt.Check(t, l.Lent(), qt.Equals, 2)
}

func TestBorrowerWithFewestCreditsIsServedFirst(t *testing.T) {
	for _, test := range []struct {
		even  bool
		first string
	}{{false, "rich"}, {true, "poor"}} {
		now := time.Unix(1000, 0)
		l := lender.New()
		l.SetCapacities(now, []capacity.Capacity{{Endpoint: "warm", Limit: 2, Open: true}})
		until := now.Add(time.Second)
		l.Demand(now, demand.Demand{Borrower: "rich", Sequence: 1, Count: 1, Until: until})
		l.Demand(now, demand.Demand{Borrower: "else", Sequence: 1, Count: 1, Until: until})
		l.SetFewestFirst(test.even)
		l.Demand(now, demand.Demand{Borrower: "rich", Sequence: 2, Count: 1, Until: until})
		l.Demand(now, demand.Demand{Borrower: "poor", Sequence: 1, Count: 1, Until: until.Add(time.Second)})
		granted := l.Release(now, "else", "warm", 1)
		qt.Assert(t, granted, qt.HasLen, 1)
		qt.Check(t, granted[0].Borrower, qt.Equals, test.first)
	}
}
