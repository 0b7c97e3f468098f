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

// sendDemand sends the owner a demand for one credit from a peer and returns the frame with the credit.
func sendDemand(c *quicktest.C, a *arbiter.Arbiter, ms int, sequence uint64) *wire.Frame {
	c.Helper()
	e := a.Receive(timeAfterStart(ms), "e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{
		Count: 1, WaitMs: 1000, Sequence: sequence, Urgency: 1,
	}}})
	credits := creditFramesOf(e)
	c.Assert(credits, quicktest.HasLen, 1)
	return credits[0]
}

func creditFramesOf(e effect.Effect) []*wire.Frame {
	var credits []*wire.Frame
	for _, outgoing := range e.Frames {
		if outgoing.Frame.GetCredit() != nil {
			credits = append(credits, outgoing.Frame)
		}
	}
	return credits
}

// Guards against a fault where credits that could not be sent within the control budget stayed lent indefinitely,
// until none were left to lend.
func TestUnsentCreditIsResent(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 10, 6)
	credit := sendDemand(c, a, ms, 1)
	a.QueueUnsent("e1", credit)
	a.QueueUnsent("e1", credit)
	c.Assert(a.IsBusy(), quicktest.IsTrue)
	resent := creditFramesOf(a.Tick(timeAfterStart(ms + 5)))
	c.Assert(resent, quicktest.HasLen, 1)
	c.Assert(resent[0], quicktest.Equals, credit)
	c.Assert(creditFramesOf(a.Tick(timeAfterStart(ms+10))), quicktest.HasLen, 0)
}

func TestUnsentCreditOfALostPeerIsDropped(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 0, 4)
	a.QueueUnsent("e1", sendDemand(c, a, ms, 1))
	a.PeerDisconnected(timeAfterStart(ms+1), "e1", timeAfterStart(ms+2000))
	c.Assert(creditFramesOf(a.Tick(timeAfterStart(ms+5))), quicktest.HasLen, 0)
}

func TestUnsentDemandsAndRecallsAreNotResent(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a")
	a.QueueUnsent("e1", &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{}}})
	a.QueueUnsent("e1", &wire.Frame{Body: &wire.Frame_Recall{Recall: &wire.Recall{}}})
	c.Assert(a.Tick(timeAfterStart(1)).Frames, quicktest.HasLen, 0)
}

// Guards against a fault where an owner with a low control budget sent one frame per request, because its
// borrowers, whose own budgets were not low, did not keep their idle credits.
func TestHoldTimeOfOwnerAppliesToBorrowers(t *testing.T) {
	c := quicktest.New(t)
	owner := newOwner("a", "b")
	ms := warmUp(c, owner, 0, 6)
	owner.SetHoldTime(time.Second)
	borrower := arbiter.New("e1", group.Group{Service: "fabric_stock", Region: "oberbayern"})
	borrower.SetEndpoints(timeAfterStart(ms), newEndpoints("a", "b"), noZonesOut)
	borrower.SetOwner(timeAfterStart(ms), "e0", alwaysConnected)
	borrower.SetHoldTime(0)
	demands := bindRequest(borrower, timeAfterStart(ms), 1)
	credits := creditFramesOf(owner.Receive(timeAfterStart(ms), "e1", demands.Frames[len(demands.Frames)-1].Frame))
	c.Assert(credits, quicktest.HasLen, 1)
	bound := borrower.Receive(timeAfterStart(ms), "e0", credits[0]).Bound
	c.Assert(bound, quicktest.HasLen, 1)
	e := borrower.Finish(timeAfterStart(ms+4), bound[0].Endpoint, false, newWarmReport("i-"+bound[0].Endpoint))
	c.Assert(e.Frames, quicktest.HasLen, 0, quicktest.Commentf("the borrower keeps the credit"))
	c.Assert(bindRequest(borrower, timeAfterStart(ms+5), 2).Bound, quicktest.HasLen, 1)
}
