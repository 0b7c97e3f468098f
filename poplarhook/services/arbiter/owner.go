package arbiter

import (
	"time"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

// SetOwner sets the entry host that owns the group from now on.
//
// Idle credits of the previous owner are dropped. The new owner is sent the requests that this host has in flight and
// the endpoints that it knows to be warm. The function isConnected reports whether a connection to the endpoint is
// open that has not been seen to close.
func (a *Arbiter) SetOwner(now time.Time, owner string, isConnected func(endpoint string) bool) effect.Effect {
	if owner == a.owner {
		return effect.Effect{}
	}
	a.owner = owner
	if a.ownership != nil {
		// If this host owns the group again later, peers may still be using credits that it lent in this ownership.
		a.coldAllowedFrom = now.Add(a.orphanTimeout)
	}
	a.ownership = nil
	a.ownerHoldTime = 0
	if owner == a.self {
		a.ownership = a.takeOver(now, isConnected)
	}
	a.SetHoldTime(a.holdTime)
	e := a.resetExchange(now, isConnected)
	if a.ownership != nil {
		e.Add(a.receiveEarlyFrames(now))
	}
	return e
}

// ResetLink resets the exchange with the same owner when the link to it breaks and when it is established again.
func (a *Arbiter) ResetLink(now time.Time, isConnected func(endpoint string) bool) effect.Effect {
	if a.ownership != nil {
		return effect.Effect{}
	}
	a.dropEarlyFrames(a.owner)
	return a.resetExchange(now, isConnected)
}

func (a *Arbiter) resetExchange(now time.Time, isConnected func(endpoint string) bool) effect.Effect {
	a.unsentFrames = nil
	a.postponedDemands = nil
	clear(a.demandSentAt)
	var e effect.Effect
	if a.ownership == nil && a.owner != "" {
		e.Frames = a.holdingFrames(now, isConnected)
	}
	e.Add(a.performActions(now, a.borrower.Reset(now)))
	return e
}

// holdingFrames returns the frames that report to the owner which requests this host has in flight and which endpoints
// it knows to be warm, one frame per endpoint. The first listed endpoint always gets a frame, marked as the first.
func (a *Arbiter) holdingFrames(now time.Time, isConnected func(endpoint string) bool) []effect.Outgoing {
	inFlight := a.inFlightByEndpoint()
	var frames []effect.Outgoing
	for _, h := range a.endpoints {
		warm := a.observer.IsWarm(now, h.ID) && isConnected(h.ID)
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

func (a *Arbiter) inFlightByEndpoint() map[string]int {
	counts := make(map[string]int)
	for _, h := range a.borrower.InFlight() {
		counts[h.Endpoint] = h.Count
	}
	return counts
}

// takeOver returns a new ownership that starts with what this host itself knows about the endpoints.
func (a *Arbiter) takeOver(now time.Time, isConnected func(endpoint string) bool) *ownership {
	o := newOwnership(a.self)
	o.setEndpoints(now, a.endpoints, a.isZoneOut)
	for _, h := range a.endpoints {
		if a.observer.IsWarm(now, h.ID) && isConnected(h.ID) {
			o.assumeWarm(h.ID, a.observer.Incarnation(h.ID))
		}
		if a.observer.IsUnconfirmed(now, h.ID) {
			o.applySighting(now, &wire.Sighting{EndpointId: h.ID, Reset_: true})
		}
		if a.observer.IsLeaving(now, h.ID) {
			o.applySighting(now, &wire.Sighting{EndpointId: h.ID, Leaving: true, Incarnation: a.observer.Incarnation(h.ID)})
		}
	}
	_, _ = o.applyCapacities(now)
	for endpoint, count := range a.inFlightByEndpoint() {
		o.lender.SetHolding(now, a.self, endpoint, count)
	}
	return o
}

// AllowCold lets the owner grant credits for cold endpoints until the given time.
func (a *Arbiter) AllowCold(now, until time.Time) effect.Effect {
	if a.ownership == nil {
		return effect.Effect{}
	}
	if now.Before(a.coldAllowedFrom) {
		until = time.Time{}
	}
	a.ownership.lender.AllowCold(until)
	return a.deliverCredits(now, a.ownership.lender.Tick(now))
}

// NeedsCold reports whether this host owns the group, an endpoint of it is open and cold, and requests wait or are in
// flight.
func (a *Arbiter) NeedsCold(now time.Time) bool {
	return a.ownership != nil && a.ownership.hasDemand() && a.ownership.hasColdEndpoint(now)
}

// PeerDisconnected records that the link to a peer broke; the credits that the peer holds count as in use until the
// given time.
func (a *Arbiter) PeerDisconnected(now time.Time, peer string, until time.Time) effect.Effect {
	a.dropEarlyFrames(peer)
	if a.ownership == nil {
		return effect.Effect{}
	}
	a.dropUnsentFrames(peer)
	return a.deliverCredits(now, a.ownership.lender.DropBorrower(now, peer, until))
}

// grantAvailable grants the credits that the endpoints' current states allow. This host's borrower is updated first,
// so that it accepts them.
func (a *Arbiter) grantAvailable(now time.Time) effect.Effect {
	credits, changed := a.ownership.applyCapacities(now)
	var e effect.Effect
	if changed {
		e = a.updateBorrower(now)
	}
	e.Add(a.deliverCredits(now, credits))
	return e
}

func (a *Arbiter) tickOwner(now time.Time) effect.Effect {
	e := a.grantAvailable(now)
	e.Add(a.deliverCredits(now, a.ownership.lender.Tick(now)))
	e.Add(a.recallIdleCredits(now))
	a.ownership.pruneRecords(now)
	return e
}

// recallIdleCredits recalls idle credits from borrowers while other borrowers wait for one, unless the control budget
// is low.
func (a *Arbiter) recallIdleCredits(now time.Time) effect.Effect {
	var e effect.Effect
	if a.controlBudgetLow {
		return e
	}
	for _, peer := range a.ownership.lender.Recalls(now) {
		if peer == a.self {
			e.Add(a.performActions(now, a.borrower.Recall(now)))
			continue
		}
		e.Send(peer, &wire.Frame{Body: &wire.Frame_Recall{Recall: &wire.Recall{Group: a.group.Number()}}})
	}
	return e
}
