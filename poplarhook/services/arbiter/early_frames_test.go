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

var fabricStock = group.Group{Service: "fabric_stock", Region: "oberbayern"}

// newSuccessor returns a host e2 in whose view e0 is still the owner, and the frames that a borrower with a warm credit
// sends to e2 as the new owner.
func newSuccessor(c *quicktest.C) (successor *arbiter.Arbiter, frames []effect.Outgoing) {
	c.Helper()
	owner, borrower := newOwner("a", "b"), arbiter.New("e1", fabricStock)
	successor = arbiter.New("e2", fabricStock)
	for _, a := range []*arbiter.Arbiter{borrower, successor} {
		a.SetEndpoints(startTime, newEndpoints("a", "b"), noZonesOut)
		a.SetOwner(startTime, "e0", alwaysConnected)
	}
	ms := warmUp(c, owner, 0, 6)
	for _, f := range bindRequest(borrower, timeAfterStart(ms), 1).Frames {
		for _, granted := range owner.Receive(timeAfterStart(ms), "e1", f.Frame).Frames {
			for _, b := range borrower.Receive(timeAfterStart(ms), "e0", granted.Frame).Bound {
				borrower.Finish(timeAfterStart(ms), b.Endpoint, b.Cold, newWarmReport("i-"+b.Endpoint))
			}
		}
	}
	frames = borrower.SetOwner(timeAfterStart(ms), "e2", alwaysConnected).Frames
	frames = append(frames, bindRequest(borrower, timeAfterStart(ms), 2).Frames...)
	return successor, frames
}

// warmCreditsOf returns the warm credits in an effect.
func warmCreditsOf(e effect.Effect) []*wire.Credit {
	var credits []*wire.Credit
	for _, f := range e.Frames {
		if credit := f.Frame.GetCredit(); credit.GetCount() > 0 && !credit.GetCold() {
			credits = append(credits, credit)
		}
	}
	return credits
}

// A host that learns late that it owns a group applies the frames that borrowers sent to it before that.
func TestNewOwnerAppliesEarlyFrames(t *testing.T) {
	c := quicktest.New(t)
	successor, frames := newSuccessor(c)
	for _, f := range frames {
		c.Assert(successor.Receive(timeAfterStart(500), "e1", f.Frame).Frames, quicktest.HasLen, 0)
	}
	c.Assert(warmCreditsOf(successor.SetOwner(timeAfterStart(600), "e2", alwaysConnected)), quicktest.HasLen, 1)
}

// Frames that arrived early are dropped after earlyFrameRetention.
func TestEarlyFramesExpire(t *testing.T) {
	c := quicktest.New(t)
	successor, frames := newSuccessor(c)
	for _, f := range frames {
		successor.Receive(timeAfterStart(500), "e1", f.Frame)
	}
	successor.Tick(timeAfterStart(1400))
	c.Assert(successor.State(timeAfterStart(1400)).EarlyFrames, quicktest.Equals, len(frames))
	successor.Tick(timeAfterStart(1600))
	c.Assert(successor.State(timeAfterStart(1600)).EarlyFrames, quicktest.Equals, 0)
}

func TestNewOwnerIgnoresExpiredFramesAndFramesOfALostPeer(t *testing.T) {
	cases := []struct {
		name     string
		delay    time.Duration
		linkLost bool
	}{
		{"expired", 2 * time.Second, false},
		{"link lost", 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := quicktest.New(t)
			successor, frames := newSuccessor(c)
			for _, f := range frames {
				successor.Receive(timeAfterStart(500), "e1", f.Frame)
			}
			if tc.linkLost {
				successor.PeerDisconnected(timeAfterStart(500), "e1", timeAfterStart(1500))
			}
			now := timeAfterStart(600).Add(tc.delay)
			c.Assert(warmCreditsOf(successor.SetOwner(now, "e2", alwaysConnected)), quicktest.HasLen, 0)
			c.Assert(successor.State(now).Loans, quicktest.HasLen, 2,
				quicktest.Commentf("one row per endpoint, with no credit lent"))
		})
	}
}
