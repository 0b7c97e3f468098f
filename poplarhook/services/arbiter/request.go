package arbiter

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
)

// Bind binds a request to an endpoint at once, or later when a credit arrives.
func (a *Arbiter) Bind(now time.Time, id uint64, req requirement.Requirement) effect.Effect {
	return a.performActions(now, a.borrower.Submit(now, id, req.Deadline, req.Urgency, req.Excluded))
}

// Cancel drops a request that waits for a credit.
func (a *Arbiter) Cancel(now time.Time, id uint64) effect.Effect {
	return a.performActions(now, a.borrower.Cancel(now, id))
}

// Finish ends a bound request and records the outcome of its exchange.
func (a *Arbiter) Finish(now time.Time, endpoint string, cold bool, r report.Report) effect.Effect {
	e := a.recordExchange(now, endpoint, cold, r)
	if !cold && (r.Err != nil || r.Cold) {
		cold = a.observer.IsSuspect(now, endpoint)
	}
	if cold && !r.Unsent && (r.Cancelled || r.Err != nil) {
		a.coldReturns = append(a.coldReturns, coldReturn{endpoint: endpoint, dueAt: now.Add(coldReturnDelay)})
		return e
	}
	e.Add(a.performActions(now, a.borrower.Finish(now, endpoint, cold)))
	return e
}

// coldReturn is a cold credit that is returned once the endpoint must have stopped working on its cancelled or failed
// request.
type coldReturn struct {
	endpoint string
	dueAt    time.Time
}

// coldReturnDelay is how long an endpoint may still work on a request after the request's connection was closed.
const coldReturnDelay = 100 * time.Millisecond

// returnColdCredits returns the credits in coldReturns that are due.
func (a *Arbiter) returnColdCredits(now time.Time) effect.Effect {
	var e effect.Effect
	for len(a.coldReturns) > 0 && !now.Before(a.coldReturns[0].dueAt) {
		endpoint := a.coldReturns[0].endpoint
		a.coldReturns = a.coldReturns[1:]
		e.Add(a.performActions(now, a.borrower.Finish(now, endpoint, true)))
	}
	return e
}

// FinishLocal ends a request that was bound without the owner.
func (a *Arbiter) FinishLocal(now time.Time, endpoint string, r report.Report) effect.Effect {
	a.localInFlight[endpoint]--
	if a.localInFlight[endpoint] <= 0 {
		delete(a.localInFlight, endpoint)
	}
	return a.recordExchange(now, endpoint, false, r)
}

// ConnectionClosed records an unsolicited close of a connection by the endpoint, which happens when an endpoint
// restarts.
func (a *Arbiter) ConnectionClosed(now time.Time, endpoint string) effect.Effect {
	if _, listed := a.byID[endpoint]; !listed {
		return effect.Effect{}
	}
	return a.reportSighting(now, &wire.Sighting{EndpointId: endpoint, Reset_: true})
}

// RecordProbe records the result of a health probe and notifies other hosts when the endpoint is newly found to be
// leaving. It does nothing unless this host owns the group.
func (a *Arbiter) RecordProbe(now time.Time, endpoint string, r report.Report) effect.Effect {
	if a.ownership == nil {
		return effect.Effect{}
	}
	a.ownership.recordProbe(now, endpoint, r)
	e := a.grantAvailable(now)
	if r.Leaving {
		e.Add(a.reportLeavingOnce(now, endpoint, r.Incarnation))
	}
	return e
}

// SilentEndpoints returns the endpoints of an owned group about which nothing was learned for at least the given time.
func (a *Arbiter) SilentEndpoints(now time.Time, silentFor time.Duration) []host.Host {
	if a.ownership == nil {
		return nil
	}
	return a.ownership.silentEndpoints(now, silentFor)
}

// recordExchange records the outcome of an exchange and reports changes of the endpoint's state to the owner.
func (a *Arbiter) recordExchange(now time.Time, endpoint string, cold bool, r report.Report) effect.Effect {
	var e effect.Effect
	if a.ownership != nil {
		a.ownership.recordExchange(now, endpoint, r)
	}
	switch {
	case r.Cancelled:
	case r.Err != nil:
		e.Add(a.reportSighting(now, &wire.Sighting{EndpointId: endpoint, Failed: true}))
	case cold && a.ownership == nil:
		e.Add(a.reportSighting(now, &wire.Sighting{
			EndpointId: endpoint, Cold: r.Cold, Warm: !r.Cold, Incarnation: r.Incarnation,
		}))
	case r.HasLoad && r.Cold:
		e.Add(a.reportSighting(now, &wire.Sighting{EndpointId: endpoint, Cold: true, Incarnation: r.Incarnation}))
	case a.observer.RecordWarm(now, endpoint, r.Incarnation):
		e.Add(a.reportSighting(now, &wire.Sighting{EndpointId: endpoint, Cold: true, Incarnation: r.Incarnation}))
	}
	if r.Leaving {
		e.Add(a.reportLeavingOnce(now, endpoint, r.Incarnation))
	}
	if a.ownership != nil {
		e.Add(a.grantAvailable(now))
	}
	return e
}

func (a *Arbiter) reportLeavingOnce(now time.Time, endpoint, incarnation string) effect.Effect {
	if !a.observer.RecordLeaving(now, endpoint) {
		return effect.Effect{}
	}
	return a.reportSighting(now, &wire.Sighting{EndpointId: endpoint, Incarnation: incarnation, Leaving: true})
}

// reportSighting applies a sighting on this host and sends it to the owner; the owner sends it to the borrowers that
// hold credits for the endpoint.
func (a *Arbiter) reportSighting(now time.Time, s *wire.Sighting) effect.Effect {
	e := a.applySighting(now, s)
	s.Group = a.group.Number()
	frame := &wire.Frame{Body: &wire.Frame_Sighting{Sighting: s}}
	if a.ownership != nil {
		for _, peer := range a.ownership.borrowersOf(s.GetEndpointId(), a.self) {
			e.Send(peer, frame)
		}
		e.Add(a.grantAvailable(now))
		return e
	}
	if a.owner != "" {
		e.Send(a.owner, frame)
	}
	return e
}

// applySighting applies a sighting to this host's view of the endpoint.
func (a *Arbiter) applySighting(now time.Time, s *wire.Sighting) effect.Effect {
	endpoint := s.GetEndpointId()
	if s.GetFailed() || s.GetReset_() || s.GetCold() {
		a.observer.MarkSuspect(now, endpoint)
	}
	if s.GetLeaving() {
		a.observer.RecordLeaving(now, endpoint)
	}
	if a.ownership != nil {
		a.ownership.applySighting(now, s)
	}
	return a.updateBorrower(now)
}

// IsOwnerSilent reports whether no credit or recall of the group has come from the owner since the given time. It is
// always false on the owner.
func (a *Arbiter) IsOwnerSilent(since time.Time) bool {
	return a.ownership == nil && a.lastOwnerMessageAt.Before(since)
}

// IsCreditTransferSlow reports whether the control budget is so low, or the hold time so long, that it is useless to
// wait for a credit from another host. It is always false on the owner.
func (a *Arbiter) IsCreditTransferSlow() bool {
	return a.ownership == nil && (a.controlBudgetLow || max(a.holdTime, a.ownerHoldTime) >= slowTransferHoldTime)
}

// PrefersLocalBinding reports whether a request should be bound without the owner, if possible, before a demand is
// sent to the owner.
func (a *Arbiter) PrefersLocalBinding() bool {
	return a.IsCreditTransferSlow() && a.borrower.Idle() == 0
}

// slowTransferHoldTime is the hold time at and above which credits rarely move between hosts.
const slowTransferHoldTime = 500 * time.Millisecond

// BindLocally binds a request without the owner, to an open endpoint that this host knows to be warm and at which
// the host has fewer requests in flight than its share.
//
// The function isConnected reports whether a connection to the endpoint is open that has not been seen to close. The
// number sharers is how many entry hosts share the endpoints.
func (a *Arbiter) BindLocally(
	now time.Time, req requirement.Requirement, sharers int, isConnected func(host.Host) bool,
) (host.Host, bool) {
	var best host.Host
	found := false
	for _, h := range a.endpoints {
		if h.ID == req.Excluded || !a.isOpen(now, h) || !a.observer.IsWarm(now, h.ID) || !isConnected(h) {
			continue
		}
		if a.ownInFlightAt(h.ID) >= shareOfLimit(h, sharers) {
			continue
		}
		if !found || a.ownInFlightAt(h.ID) < a.ownInFlightAt(best.ID) {
			best, found = h, true
		}
	}
	if found {
		a.localInFlight[best.ID]++
	}
	return best, found
}

// ownInFlightAt returns how many requests of this host are in flight at the endpoint.
func (a *Arbiter) ownInFlightAt(endpoint string) int {
	load := a.localInFlight[endpoint]
	for _, h := range a.borrower.InFlight() {
		if h.Endpoint == endpoint {
			load += h.Count
		}
	}
	return load
}

// shareOfLimit returns this host's part of the endpoint's limit, rounded up.
func shareOfLimit(h host.Host, sharers int) int {
	sharers = max(sharers, 1)
	return (limitOf(h) + sharers - 1) / sharers
}
