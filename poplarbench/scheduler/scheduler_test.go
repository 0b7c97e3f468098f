package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
)

func scenarioWith(arrivals string, seed uint64) scenario.Scenario {
	return scenario.Scenario{
		DurationMS: 10_000, Seed: seed, RatePerS: 500, Arrivals: arrivals,
		Mix: []scenario.Entry{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
	}
}

func allArrivals(c *qt.C, s scenario.Scenario, choice string) []scheduler.Arrival {
	schedule, err := scheduler.New(s, 4, choice)
	c.Assert(err, qt.IsNil)
	var arrivals []scheduler.Arrival
	for {
		arrival, ok := schedule.Next()
		if !ok {
			return arrivals
		}
		arrivals = append(arrivals, arrival)
	}
}

func TestSameSeedSameSchedule(t *testing.T) {
	c := qt.New(t)
	first := allArrivals(c, scenarioWith(scenario.Poisson, 1), scheduler.Random)
	c.Assert(allArrivals(c, scenarioWith(scenario.Poisson, 1), scheduler.Random), qt.DeepEquals, first)
	c.Assert(allArrivals(c, scenarioWith(scenario.Poisson, 2), scheduler.Random)[0].RequestID, qt.Not(qt.Equals), first[0].RequestID)
}

func TestRateAndMix(t *testing.T) {
	c := qt.New(t)
	arrivals := allArrivals(c, scenarioWith(scenario.Poisson, 3), scheduler.RoundRobin)
	c.Assert(len(arrivals) > 4700 && len(arrivals) < 5300, qt.IsTrue, qt.Commentf("%d arrivals", len(arrivals)))
	ids := make(map[string]bool)
	firstEntryCount := 0
	for i, arrival := range arrivals {
		ids[arrival.RequestID] = true
		c.Assert(arrival.Target, qt.Equals, i%4)
		if arrival.Entry == 0 {
			firstEntryCount++
		}
	}
	c.Assert(ids, qt.HasLen, len(arrivals))
	share := float64(firstEntryCount) / float64(len(arrivals))
	c.Assert(share > 0.72 && share < 0.78, qt.IsTrue, qt.Commentf("share %f", share))
}

func TestConstantArrivals(t *testing.T) {
	arrivals := allArrivals(qt.New(t), scenarioWith(scenario.Constant, 3), scheduler.RoundRobin)
	qt.Assert(t, arrivals[1].Intended-arrivals[0].Intended, qt.Equals, 2*time.Millisecond)
}

func TestNewRefuses(t *testing.T) {
	_, err := scheduler.New(scenarioWith(scenario.Constant, 3), 0, scheduler.Random)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrInvalidTargets)
	_, err = scheduler.New(scenarioWith(scenario.Constant, 3), 1, "nearest")
	qt.Assert(t, err, qt.ErrorMatches, `.*"nearest".*round_robin, random.*`)
}
