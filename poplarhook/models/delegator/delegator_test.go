package delegator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/delegator"
	"poplarhook.example/poplarhook/models/granter"
	"poplarhook.example/poplarhook/models/token"
)

// pairStart is the time at which the host of newPair starts.
const pairStart = time.Hour

// newPair returns the Delegator of a host that starts, and the id of a better pool host whose stream is open.
func newPair(t *testing.T) (*delegator.Delegator, string) {
	t.Helper()
	d := delegator.New(pairStart, delegator.Peer{ID: "b", Address: "b"}, granter.New(granter.Limits{Window: window, Overage: overage, Slack: slack}))
	d.SetPeers([]delegator.Peer{{ID: "a", Address: "a", Capacity: 2}, {ID: "b", Address: "b"}})
	d.SetWorkspaces(pairStart, []workspace.Workspace{{Name: "barley", RatePerSecond: 100, Burst: 100}})
	open(t, d, pairStart)
	return d, "a"
}

// open opens the stream to the pool host, whose clock shows the same time.
func open(t *testing.T, d *delegator.Delegator, now time.Duration) {
	t.Helper()
	qt.Assert(t, d.Tick(now).Dial, qt.HasLen, 1)
	d.Receive(now, "a", token.Reply{Clock: now.Milliseconds()})
}

// exchange lets the host send what is due and the pool host answer each Ask with the reply, and returns the parts lent.
func exchange(d *delegator.Delegator, now time.Duration, r token.Reply) int {
	lent := 0
	for _, o := range d.Tick(now).Send {
		if o.Ask.Lend > 0 {
			lent++
		}
		r.Clock = now.Milliseconds()
		d.Receive(now, o.To, r)
	}
	return lent
}

// Guards against a host that lends its share of the start allowance more than once in a window, and against one that lends
// while its pool host does not change.
func TestAllowanceIsLentOnceInAWindow(t *testing.T) {
	c := qt.New(t)
	d, pool := newPair(t)
	now := pairStart
	run := func(until time.Duration) int {
		lent := 0
		for ; now < until; now += 20 * time.Millisecond {
			lent += exchange(d, now, token.Reply{})
		}
		return lent
	}
	lent := run(now + 10*time.Second)
	c.Assert(lent > 0 && lent <= granter.LendParts, qt.IsTrue, qt.Commentf("%d", lent))
	c.Assert(run(now+20*time.Second), qt.Equals, 0, qt.Commentf("the same pool host"))
	again := func() int {
		d.Closed(now, pool)
		now += 10 * time.Second
		open(t, d, now)
		return run(now + 2*time.Second)
	}
	lent = again()
	c.Assert(lent > 0 && lent <= granter.LendParts, qt.IsTrue, qt.Commentf("%d", lent))
	d.Closed(now, pool)
	now += time.Second
	open(t, d, now)
	c.Assert(run(now+2*time.Second), qt.Equals, 0, qt.Commentf("a window has not passed"))
}

// Guards against 429 for a workspace that has used little, while the pool host has no shares yet.
func TestRequestWaitsForAStartingPoolHost(t *testing.T) {
	c := qt.New(t)
	d, pool := newPair(t)
	now := pairStart
	ticket := d.Acquire(now, "barley")
	asks := 0
	for ; now < pairStart+delegator.TokenWait; now += time.Millisecond {
		for _, o := range d.Tick(now).Send {
			asks++
			d.Receive(now, pool, token.Reply{Clock: now.Milliseconds(), Refuse: map[string]token.Refusal{"barley": {Starting: len(o.Ask.Want) > 0}}})
		}
	}
	c.Assert(asks > 2 && asks <= 5, qt.IsTrue, qt.Commentf("%d Asks", asks))
	c.Assert(ticket.State(), qt.Equals, delegator.Waiting)
	d.Abandon(ticket)
	c.Assert(ticket.State(), qt.Equals, delegator.Unanswered)
}

// Guards against requests that wait for long for a pool host that is gone, and for a short time only for one that is slow.
func TestWaitIsShortOnceThePoolHostIsProbablyGone(t *testing.T) {
	c := qt.New(t)
	d, pool := newPair(t)
	d.Acquire(pairStart, "barley")
	c.Assert(d.Tick(pairStart).Send, qt.HasLen, 1)
	c.Assert(d.Wait(pairStart+149*time.Millisecond), qt.Equals, delegator.TokenWait)
	c.Assert(d.Wait(pairStart+150*time.Millisecond), qt.Equals, 60*time.Millisecond)
	d.Receive(pairStart+160*time.Millisecond, pool, token.Reply{})
	c.Assert(d.Wait(pairStart+160*time.Millisecond), qt.Equals, delegator.TokenWait)
}

// Guards against a host that is not listed, as the store turns it away, and that delegates or lends a share of the quotas
// which the listed hosts have divided among themselves already.
func TestUnlistedHostHasNoShare(t *testing.T) {
	c := qt.New(t)
	d, pool := newPair(t)
	d.SetPeers([]delegator.Peer{{ID: pool, Address: "a"}, {ID: "c", Address: "c"}})
	now := pairStart
	ticket := d.Acquire(now, "barley")
	for ; now < pairStart+5*time.Second; now += 20 * time.Millisecond {
		for _, o := range d.Tick(now).Send {
			c.Assert(o.Ask.Echo, qt.Equals, int64(0))
			c.Assert(o.Ask.Lend, qt.Equals, int64(0))
			d.Receive(now, o.To, token.Reply{Clock: now.Milliseconds(), Grant: o.Ask.Want})
		}
	}
	c.Assert(ticket.State(), qt.Equals, delegator.Granted)
	// Without a pool host it has no token, and uses none of its own.
	d.Closed(now, pool)
	waiting := d.Acquire(now, "barley")
	for end := now + 5*time.Second; now < end; now += 20 * time.Millisecond {
		d.Tick(now)
	}
	c.Assert(waiting.State(), qt.Equals, delegator.Waiting)
	c.Assert(d.IsDelegated(now), qt.IsFalse)
}
