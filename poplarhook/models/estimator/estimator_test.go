package estimator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/estimator"
)

const serviceTime = 60 * time.Millisecond

func TestEstimateOrdersEndpointStates(t *testing.T) {
	// The estimate of each state must be below that of the next one.
	ordered := []struct {
		name  string
		state estimator.State
	}{
		{"idle", estimator.State{Slots: 4, SlowFactor: 1}},
		{"idle, round trip of 5 ms", estimator.State{Slots: 4, SlowFactor: 1, RoundTrip: 5 * time.Millisecond}},
		{"nearly full", estimator.State{Slots: 4, SlowFactor: 1, Running: 3}},
		{"cold", estimator.State{Slots: 4, SlowFactor: 1, Cold: true}},
		{"a queue of four", estimator.State{Slots: 4, SlowFactor: 1, Running: 4, Waiting: 4}},
		{"unhealthy", estimator.State{Slots: 4, SlowFactor: 1, Unhealthy: true}},
		{"slow", estimator.State{Slots: 4, SlowFactor: 5}},
		{"failing most requests", estimator.State{Slots: 4, SlowFactor: 1, FailureRate: 0.8}},
	}
	for i := 1; i < len(ordered); i++ {
		before, after := estimator.Estimate(serviceTime, ordered[i-1].state), estimator.Estimate(serviceTime, ordered[i].state)
		qt.Check(t, before < after, qt.IsTrue, qt.Commentf("%s: %s, %s: %s", ordered[i-1].name, before, ordered[i].name, after))
	}
}

func TestServiceTimeIsNormalizedBySlowFactor(t *testing.T) {
	c := qt.New(t)
	e := estimator.New()
	c.Assert(e.ServiceTime("a", 300*time.Millisecond), qt.Equals, 100*time.Millisecond)
	e.Record("a", 300*time.Millisecond, 5)
	for range 200 {
		e.Record("a", 60*time.Millisecond, 1)
	}
	e.Record("a", time.Hour, 0)
	got := e.ServiceTime("a", 0)
	c.Assert(got > 59*time.Millisecond && got < 61*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got))
}
