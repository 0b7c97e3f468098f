package arbiter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/services/arbiter"
)

// demandOf asks the owner for one credit on behalf of a peer and returns the credit's frame.
func demandOf(c *quicktest.C, a *arbiter.Arbiter, ms int, sequence uint64) *wire.Frame {
	c.Helper()
	e := a.Receive(at(ms), "e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{
		Count: 1, WaitMs: 1000, Sequence: sequence, Urgency: 1,
	}}})
	credits := creditsOf(e)
	c.Assert(credits, quicktest.HasLen, 1)
	return credits[0]
}

func creditsOf(e effect.Effect) []*wire.Frame {
	var credits []*wire.Frame
	for _, outgoing := range e.Frames {
		if outgoing.Frame.GetCredit() != nil {
			credits = append(credits, outgoing.Frame)
		}
	}
	return credits
}

// Credits over the budget were once lent for good, until nothing was left to lend.
func TestUnsentCreditIsSentAgain(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 10, 6)
	credit := demandOf(c, a, ms, 1)
	a.Unsent("e1", credit)
	a.Unsent("e1", credit)
	c.Assert(a.IsBusy(), quicktest.IsTrue)
	again := creditsOf(a.Tick(at(ms + 5)))
	c.Assert(again, quicktest.HasLen, 1)
	c.Assert(again[0], quicktest.Equals, credit)
	c.Assert(creditsOf(a.Tick(at(ms+10))), quicktest.HasLen, 0)
}

func TestUnsentCreditOfALostPeerIsDropped(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 0, 4)
	a.Unsent("e1", demandOf(c, a, ms, 1))
	a.PeerGone(at(ms+1), "e1", at(ms+2000))
	c.Assert(creditsOf(a.Tick(at(ms+5))), quicktest.HasLen, 0)
}

func TestDemandsAreNotKept(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a")
	a.Unsent("e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{}}})
	a.Unsent("e1", &wire.Frame{Body: &wire.Frame_Recall{Recall: &wire.Recall{}}})
	c.Assert(a.Tick(at(1)).Frames, quicktest.HasLen, 0)
}

// An owner whose budget was short once granted one frame a request, as its borrowers' own budgets were not.
func TestOwnersHoldReachesItsBorrowers(t *testing.T) {
	c := quicktest.New(t)
	owner := newOwner("a", "b")
	ms := warmUp(c, owner, 0, 6)
	owner.SetHold(time.Second)
	borrower := arbiter.New("e1", group.Group{Service: "fabric_stock", Region: "oberbayern"})
	borrower.SetEndpoints(at(ms), endpoints("a", "b"), noZoneOut)
	borrower.SetOwner(at(ms), "e0", proved)
	borrower.SetHold(0)
	asked := ask(borrower, at(ms), 1)
	credits := creditsOf(owner.Receive(at(ms), "e1", asked.Frames[len(asked.Frames)-1].Frame))
	c.Assert(credits, quicktest.HasLen, 1)
	bound := borrower.Receive(at(ms), "e0", credits[0]).Bound
	c.Assert(bound, quicktest.HasLen, 1)
	e := borrower.Finish(at(ms+4), bound[0].Endpoint, false, warmAnswer("i-"+bound[0].Endpoint))
	c.Assert(e.Frames, quicktest.HasLen, 0, quicktest.Commentf("the credit is kept"))
	c.Assert(ask(borrower, at(ms+5), 2).Bound, quicktest.HasLen, 1)
}
