package arbiter_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"poplarhook.example/lib/wire"
)

func TestOwnerShortOfBudgetSendsNothingAndWarmsItsEndpointsAlone(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	a.SetShort(true)
	for sequence := range uint64(5) {
		e := a.Receive(at(0), "e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{
			Count: 1, WaitMs: 60_000, Sequence: sequence + 1, Urgency: 1,
		}}})
		c.Assert(e.Frames, quicktest.HasLen, 0)
	}
	ms := warmUp(c, a, 10, 6)
	for range 100 {
		ms += 2
		c.Assert(a.Tick(at(ms)).Frames, quicktest.HasLen, 0)
	}
	a.SetShort(false)
	c.Check(creditsOf(a.Tick(at(ms+2))), quicktest.Not(quicktest.HasLen), 0)
}
