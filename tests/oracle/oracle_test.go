package oracle

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
)

func TestPickShortestSpreadsRequestsEvenly(t *testing.T) {
	c := qt.New(t)
	queues := []*endpointQueue{newQueue(2, 1), newQueue(2, 2), newQueue(2, 3)}
	for range 6 {
		pickShortest(queues, simulatedStart).add(simulatedStart)
	}
	for _, q := range queues {
		c.Assert(q.length(simulatedStart), qt.Equals, 2)
		c.Assert(q.length(simulatedStart.Add(time.Hour)), qt.Equals, 0)
	}
}

func TestThirdRequestWaitsForFreeSlot(t *testing.T) {
	c := qt.New(t)
	q := newQueue(2, 1)
	first, second := q.add(simulatedStart), q.add(simulatedStart)
	earliest := first
	if second.Before(first) {
		earliest = second
	}
	c.Assert(q.add(simulatedStart).After(earliest), qt.IsTrue)
}

func TestSameSeedGivesSameResult(t *testing.T) {
	c := qt.New(t)
	d := deployment.Brandstaetter()
	d = d.WithServices(d.Services[0])
	load := scenario.Scenario{Seed: 1, RatePerS: 3300, DurationMS: 10000, Mix: []scenario.Entry{{Name: "a", Weight: 1}}}
	first, err := New(d, 6).Run(load, "oracle")
	c.Assert(err, qt.IsNil)
	again, err := New(d, 6).Run(load, "oracle")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, first)
	wide, err := New(d, 6, WithAllRegions()).Run(load, "oracle")
	c.Assert(err, qt.IsNil)
	c.Assert(wide.P99MS < first.P99MS, qt.IsTrue)
}
