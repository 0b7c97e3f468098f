package arbiter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/wire"
)

func TestOwnerWithLowControlBudgetSendsNoFrames(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	a.SetControlBudgetLow(true)
	for sequence := range uint64(5) {
		e := a.Receive(timeAfterStart(0), "e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{
			Count: 1, WaitMs: 60_000, Sequence: sequence + 1, Urgency: 1,
		}}})
		c.Assert(e.Frames, quicktest.HasLen, 0)
	}
	ms := warmUp(c, a, 10, 6)
	for range 100 {
		ms += 2
		c.Assert(a.Tick(timeAfterStart(ms)).Frames, quicktest.HasLen, 0)
	}
	a.SetControlBudgetLow(false)
	c.Check(creditFramesOf(a.Tick(timeAfterStart(ms+2))), quicktest.Not(quicktest.HasLen), 0)
}

// changeControlBudget occasionally changes whether a random host's control budget is low, and that host's hold time.
func (w *simulation) changeControlBudget(t *rapid.T) {
	a := w.arbiters[rapid.SampledFrom(w.hosts).Draw(t, "spender")]
	if a == nil || rapid.IntRange(0, 9).Draw(t, "spend") > 0 {
		return
	}
	a.SetControlBudgetLow(rapid.Bool().Draw(t, "short"))
	a.SetHoldTime(rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, time.Second}).Draw(t, "hold"))
}

// TestEndpointsAreNotOverloadedUnderLowBudgets runs with one fixed owner that all hosts agree on.
func TestEndpointsAreNotOverloadedUnderLowBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(threeHosts, twoEndpoints)
		for _, id := range w.hosts {
			w.setOwner(id, "e0")
		}
		for range 300 {
			w.changeControlBudget(t)
			w.runRandomEvent(t, steadyEvents, false)
			w.checkLoad(t, true)
		}
	})
}

// TestColdEndpointsAreNotOverloadedUnderLowBudgets lets each host change its view of who the owner is at any time.
func TestColdEndpointsAreNotOverloadedUnderLowBudgets(t *testing.T) {
	events := append([]string{"owner"}, steadyEvents...)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(threeHosts, twoEndpoints)
		for range 300 {
			w.changeControlBudget(t)
			w.runRandomEvent(t, events, true)
			w.checkLoad(t, false)
		}
	})
}
