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

// join returns a host that follows another owner, and what a host that holds a warm credit tells it as the new owner.
func join(c *quicktest.C) (next *arbiter.Arbiter, told []effect.Outgoing) {
	c.Helper()
	owner, borrower := newOwner("a", "b"), arbiter.New("e1", fabricStock)
	next = arbiter.New("e2", fabricStock)
	for _, a := range []*arbiter.Arbiter{borrower, next} {
		a.SetEndpoints(start, endpoints("a", "b"), noZoneOut)
		a.SetOwner(start, "e0", proved)
	}
	ms := warmUp(c, owner, 0, 6)
	for _, f := range ask(borrower, at(ms), 1).Frames {
		for _, granted := range owner.Receive(at(ms), "e1", f.Frame).Frames {
			for _, b := range borrower.Receive(at(ms), "e0", granted.Frame).Bound {
				borrower.Finish(at(ms), b.Endpoint, b.Cold, warmAnswer("i-"+b.Endpoint))
			}
		}
	}
	told = borrower.SetOwner(at(ms), "e2", proved).Frames
	told = append(told, ask(borrower, at(ms), 2).Frames...)
	return next, told
}

// credits returns the warm credits in an effect.
func credits(e effect.Effect) []*wire.Credit {
	var granted []*wire.Credit
	for _, f := range e.Frames {
		if credit := f.Frame.GetCredit(); credit.GetCount() > 0 && !credit.GetCold() {
			granted = append(granted, credit)
		}
	}
	return granted
}

// A host that learns late that it owns a group goes on from what borrowers have told it before.
func TestNewOwnerHeedsWhatCameEarly(t *testing.T) {
	c := quicktest.New(t)
	next, told := join(c)
	for _, f := range told {
		c.Assert(next.Receive(at(500), "e1", f.Frame).Frames, quicktest.HasLen, 0)
	}
	c.Assert(credits(next.SetOwner(at(600), "e2", proved)), quicktest.HasLen, 1)
}

// What came early is kept no longer than it is of use.
func TestEarlyFramesAreForgotten(t *testing.T) {
	c := quicktest.New(t)
	next, told := join(c)
	for _, f := range told {
		next.Receive(at(500), "e1", f.Frame)
	}
	next.Tick(at(1400))
	c.Assert(next.State(at(1400)).Early, quicktest.Equals, len(told))
	next.Tick(at(1600))
	c.Assert(next.State(at(1600)).Early, quicktest.Equals, 0)
}

func TestNewOwnerLeavesOutWhatIsOldOrOfABrokenLink(t *testing.T) {
	cases := []struct {
		name   string
		later  time.Duration
		broken bool
	}{
		{"old", 2 * time.Second, false},
		{"broken link", 0, true},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			c := quicktest.New(t)
			next, told := join(c)
			for _, f := range told {
				next.Receive(at(500), "e1", f.Frame)
			}
			if row.broken {
				next.PeerGone(at(500), "e1", at(1500))
			}
			now := at(600).Add(row.later)
			c.Assert(credits(next.SetOwner(now, "e2", proved)), quicktest.HasLen, 0)
			c.Assert(next.State(now).Loans, quicktest.HasLen, 2, quicktest.Commentf("one row for each endpoint, lent to nobody"))
		})
	}
}
