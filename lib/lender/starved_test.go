package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
)

// Cold endpoints must get requests even if all requests are urgent. Otherwise these queue indefinitely for the only
// warm endpoint, while cold endpoints stay idle.
func TestUrgentWorkWarmsColdEndpoints(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	l := lender.New()
	l.AllowCold(start.Add(time.Hour))
	l.SetCapacities(start, []capacity.Capacity{
		{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
		{Endpoint: "warm", Limit: 1, Open: true},
	})
	demandUrgent := func(now time.Time, sequence uint64) string {
		granted := l.Demand(now, demand.Demand{
			Borrower: "b", Sequence: sequence, Count: 1, Until: now.Add(time.Minute), Urgency: demand.UrgencyHigh,
		})
		if len(granted) == 0 {
			return ""
		}
		return granted[0].Endpoint
	}
	c.Assert(demandUrgent(start, 1), qt.Equals, "warm")
	c.Assert(demandUrgent(start, 2), qt.Equals, "cold", qt.Commentf("the warm endpoint is full"))
	l.Release(start, "b", "cold", 1)
	l.Release(start, "b", "warm", 1)
	c.Assert(demandUrgent(start, 3), qt.Equals, "warm")
	l.Release(start, "b", "warm", 1)
	c.Assert(demandUrgent(start.Add(time.Second), 4), qt.Equals, "cold", qt.Commentf("the cold endpoint has had no work for a second"))
}
