package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
)

// Work that is all urgent once left cold endpoints idle while it queued for one warm one, for ever.
func TestUrgentWorkWarmsColdEndpoints(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	l := lender.New()
	l.AllowCold(start.Add(time.Hour))
	l.SetCapacities(start, []capacity.Capacity{
		{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
		{Endpoint: "warm", Limit: 1, Open: true},
	})
	ask := func(now time.Time, sequence uint64) string {
		granted := l.Demand(now, demand.Demand{
			Borrower: "b", Sequence: sequence, Count: 1, Until: now.Add(time.Minute), Urgency: demand.UrgencyHigh,
		})
		if len(granted) == 0 {
			return ""
		}
		return granted[0].Endpoint
	}
	c.Assert(ask(start, 1), qt.Equals, "warm")
	c.Assert(ask(start, 2), qt.Equals, "cold", qt.Commentf("rather than wait"))
	l.Release(start, "b", "cold", 1)
	l.Release(start, "b", "warm", 1)
	c.Assert(ask(start, 3), qt.Equals, "warm")
	l.Release(start, "b", "warm", 1)
	c.Assert(ask(start.Add(time.Second), 4), qt.Equals, "cold", qt.Commentf("which has had no work for long"))
}
