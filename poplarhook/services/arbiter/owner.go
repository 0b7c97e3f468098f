package arbiter

import (
	"time"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

// SetOwner names the entry host that owns the group from now on.
//
// Idle credits of the earlier owner are dropped; the new one is told what this
// host has in flight and which endpoints it knows to be warm.
func (a *Arbiter) SetOwner(now time.Time, owner string, proved func(endpoint string) bool) effect.Effect {
	if owner == a.owner {
		return effect.Effect{}
	}
	a.owner = owner
	if a.owned != nil {
		// Should this host own the group again, peers may still use what it has lent before.
		a.coldFrom = now.Add(a.orphanFor)
	}
	a.owned = nil
	a.ownerHold = 0
	if owner == a.self {
		a.owned = a.takeOver(now, proved)
	}
	a.SetHold(a.hold)
	e := a.restart(now, proved)
	if a.owned != nil {
		e.Add(a.receiveEarly(now))
	}
	return e
}

// Relink starts anew with the same owner when the link to it breaks and when it is made again.
func (a *Arbiter) Relink(now time.Time, proved func(endpoint string) bool) effect.Effect {
	if a.owned != nil {
		return effect.Effect{}
	}
	a.dropEarly(a.owner)
	return a.restart(now, proved)
}

func (a *Arbiter) restart(now time.Time, proved func(endpoint string) bool) effect.Effect {
	a.unsent = nil
	a.postponed = nil
	clear(a.demanded)
	var e effect.Effect
	if a.owned == nil && a.owner != "" {
		e.Frames = a.holdings(now, proved)
	}
	e.Add(a.act(now, a.borrower.Reset(now)))
	return e
}

// holdings tells the owner what is in flight here, each endpoint once.
func (a *Arbiter) holdings(now time.Time, proved func(endpoint string) bool) []effect.Outgoing {
	inFlight := a.inFlight()
	var frames []effect.Outgoing
	for _, h := range a.endpoints {
		warm := a.observer.IsWarm(now, h.ID) && proved(h.ID)
		count := inFlight[h.ID]
		if count == 0 && !warm && len(frames) > 0 {
			continue
		}
		holding := &wire.Holding{
			Group:    a.group.Number(),
			Endpoint: number(h.ID),
			Count:    uint32(count),
			Warm:     warm,
			First:    len(frames) == 0,
		}
		frames = append(frames, effect.Outgoing{To: a.owner, Frame: &wire.Frame{Body: &wire.Frame_Holding{Holding: holding}}})
	}
	return frames
}

func (a *Arbiter) inFlight() map[string]int {
	counts := make(map[string]int)
	for _, h := range a.borrower.InFlight() {
		counts[h.Endpoint] = h.Count
	}
	return counts
}

// takeOver starts the ownership with what this host itself knows.
func (a *Arbiter) takeOver(now time.Time, proved func(endpoint string) bool) *ownership {
	o := newOwnership(a.self)
	o.setEndpoints(now, a.endpoints, a.zoneOut)
	for _, h := range a.endpoints {
		if a.observer.IsWarm(now, h.ID) && proved(h.ID) {
			o.assumeWarm(h.ID, a.observer.Incarnation(h.ID))
		}
		if a.observer.IsUnsettled(now, h.ID) {
			o.see(now, &wire.Sighting{EndpointId: h.ID, Reset_: true})
		}
		if a.observer.IsLeaving(now, h.ID) {
			o.see(now, &wire.Sighting{EndpointId: h.ID, Leaving: true, Incarnation: a.observer.Incarnation(h.ID)})
		}
	}
	_, _ = o.apply(now)
	for endpoint, count := range a.inFlight() {
		o.lender.Hold(now, a.self, endpoint, count)
	}
	return o
}

// AllowCold lets the owner give work to cold endpoints until the given time.
func (a *Arbiter) AllowCold(now, until time.Time) effect.Effect {
	if a.owned == nil {
		return effect.Effect{}
	}
	if now.Before(a.coldFrom) {
		until = time.Time{}
	}
	a.owned.lender.AllowCold(until)
	return a.deliver(now, a.owned.lender.Tick(now))
}

// NeedsCold reports whether this host owns the group, some endpoint of it is cold and work waits or is under way.
func (a *Arbiter) NeedsCold(now time.Time) bool {
	return a.owned != nil && a.owned.hasDemand() && a.owned.hasCold(now)
}

// PeerGone notes that the link to a peer broke; what it had in flight counts until the given time.
func (a *Arbiter) PeerGone(now time.Time, peer string, until time.Time) effect.Effect {
	a.dropEarly(peer)
	if a.owned == nil {
		return effect.Effect{}
	}
	a.dropUnsent(peer)
	return a.deliver(now, a.owned.lender.Forget(now, peer, until))
}

// lend grants what the endpoints' present states allow, which this host's borrower learns first.
func (a *Arbiter) lend(now time.Time) effect.Effect {
	credits, changed := a.owned.apply(now)
	var e effect.Effect
	if changed {
		e = a.refresh(now)
	}
	e.Add(a.deliver(now, credits))
	return e
}

func (a *Arbiter) tickOwner(now time.Time) effect.Effect {
	e := a.lend(now)
	e.Add(a.deliver(now, a.owned.lender.Tick(now)))
	e.Add(a.recall(now))
	a.owned.forget(now)
	return e
}

// recall asks those who hold idle credits for them while others wait.
func (a *Arbiter) recall(now time.Time) effect.Effect {
	var e effect.Effect
	if a.short {
		return e
	}
	for _, peer := range a.owned.lender.Recalls(now) {
		if peer == a.self {
			e.Add(a.act(now, a.borrower.Recall(now)))
			continue
		}
		e.Send(peer, &wire.Frame{Body: &wire.Frame_Recall{Recall: &wire.Recall{Group: a.group.Number()}}})
	}
	return e
}
