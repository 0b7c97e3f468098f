package arbiter

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/wish"
)

// Ask binds a request at once or as soon as a credit comes.
func (a *Arbiter) Ask(now time.Time, id uint64, w wish.Wish) effect.Effect {
	return a.act(now, a.borrower.Ask(now, id, w.Until, w.Urgency, w.Excluded))
}

// Cancel drops a waiting request.
func (a *Arbiter) Cancel(now time.Time, id uint64) effect.Effect {
	return a.act(now, a.borrower.Cancel(now, id))
}

// Finish ends a bound request with what the exchange showed.
func (a *Arbiter) Finish(now time.Time, endpoint string, cold bool, r report.Report) effect.Effect {
	e := a.observe(now, endpoint, cold, r)
	if !cold && (r.Err != nil || r.Cold) {
		cold = a.observer.IsDoubted(now, endpoint)
	}
	if cold && !r.Unsent && (r.Cancelled || r.Err != nil) {
		a.settling = append(a.settling, settlement{endpoint: endpoint, at: now.Add(settleFor)})
		return e
	}
	e.Add(a.act(now, a.borrower.Finish(now, endpoint, cold)))
	return e
}

// settlement is a cold credit that is given back once the endpoint must have noticed that its request was given up.
type settlement struct {
	endpoint string
	at       time.Time
}

// settleFor is how long after its connection was closed an endpoint may still work on a request.
const settleFor = 100 * time.Millisecond

// settleCold gives back the cold credits whose time has come.
func (a *Arbiter) settleCold(now time.Time) effect.Effect {
	var e effect.Effect
	for len(a.settling) > 0 && !now.Before(a.settling[0].at) {
		endpoint := a.settling[0].endpoint
		a.settling = a.settling[1:]
		e.Add(a.act(now, a.borrower.Finish(now, endpoint, true)))
	}
	return e
}

// FinishAlone ends a request that Alone bound.
func (a *Arbiter) FinishAlone(now time.Time, endpoint string, r report.Report) effect.Effect {
	a.alone[endpoint]--
	if a.alone[endpoint] <= 0 {
		delete(a.alone, endpoint)
	}
	return a.observe(now, endpoint, false, r)
}

// Lost notes that the endpoint closed a connection unasked, as one that restarts does.
func (a *Arbiter) Lost(now time.Time, endpoint string) effect.Effect {
	if _, listed := a.byID[endpoint]; !listed {
		return effect.Effect{}
	}
	return a.tell(now, &wire.Sighting{EndpointId: endpoint, Reset_: true})
}

// Probed takes in what an endpoint's health says and passes news on.
func (a *Arbiter) Probed(now time.Time, endpoint string, r report.Report) effect.Effect {
	if a.owned == nil {
		return effect.Effect{}
	}
	a.owned.probed(now, endpoint, r)
	e := a.lend(now)
	if r.Leaving {
		e.Add(a.tellLeaving(now, endpoint, r.Incarnation))
	}
	return e
}

// Unheard returns the endpoints of an owned group that have given no sign for the given time.
func (a *Arbiter) Unheard(now time.Time, since time.Duration) []host.Host {
	if a.owned == nil {
		return nil
	}
	return a.owned.unheard(now, since)
}

// observe takes in what an exchange showed and tells the owner what is news.
func (a *Arbiter) observe(now time.Time, endpoint string, cold bool, r report.Report) effect.Effect {
	var e effect.Effect
	if a.owned != nil {
		a.owned.observe(now, endpoint, r)
	}
	switch {
	case r.Cancelled:
	case r.Err != nil:
		e.Add(a.tell(now, &wire.Sighting{EndpointId: endpoint, Failed: true}))
	case cold && a.owned == nil:
		e.Add(a.tell(now, &wire.Sighting{EndpointId: endpoint, Cold: r.Cold, Warm: !r.Cold, Incarnation: r.Incarnation}))
	case r.Loaded && r.Cold:
		e.Add(a.tell(now, &wire.Sighting{EndpointId: endpoint, Cold: true, Incarnation: r.Incarnation}))
	case a.observer.Warm(now, endpoint, r.Incarnation):
		e.Add(a.tell(now, &wire.Sighting{EndpointId: endpoint, Cold: true, Incarnation: r.Incarnation}))
	}
	if r.Leaving {
		e.Add(a.tellLeaving(now, endpoint, r.Incarnation))
	}
	if a.owned != nil {
		e.Add(a.lend(now))
	}
	return e
}

func (a *Arbiter) tellLeaving(now time.Time, endpoint, incarnation string) effect.Effect {
	if !a.observer.Leaving(now, endpoint) {
		return effect.Effect{}
	}
	return a.tell(now, &wire.Sighting{EndpointId: endpoint, Incarnation: incarnation, Leaving: true})
}

// tell takes a sighting in here and passes it to the owner, or from the owner to those who hold credits.
func (a *Arbiter) tell(now time.Time, s *wire.Sighting) effect.Effect {
	e := a.see(now, s)
	s.Group = a.group.Number()
	frame := &wire.Frame{Body: &wire.Frame_Sighting{Sighting: s}}
	if a.owned != nil {
		for _, peer := range a.owned.borrowersOf(s.GetEndpointId(), a.self) {
			e.Send(peer, frame)
		}
		e.Add(a.lend(now))
		return e
	}
	if a.owner != "" {
		e.Send(a.owner, frame)
	}
	return e
}

// see takes a sighting in.
func (a *Arbiter) see(now time.Time, s *wire.Sighting) effect.Effect {
	endpoint := s.GetEndpointId()
	if s.GetFailed() || s.GetReset_() || s.GetCold() {
		a.observer.Doubt(now, endpoint)
	}
	if s.GetLeaving() {
		a.observer.Leaving(now, endpoint)
	}
	if a.owned != nil {
		a.owned.see(now, s)
	}
	return a.refresh(now)
}

// IsOwnerSilent reports whether the owner has said nothing about the group since the given time.
func (a *Arbiter) IsOwnerSilent(since time.Time) bool {
	return a.owned == nil && a.heardAt.Before(since)
}

// IsCoarse reports whether the control budget is so short that waiting for a credit of another host is in vain.
func (a *Arbiter) IsCoarse() bool {
	return a.owned == nil && (a.short || max(a.hold, a.ownerHold) >= coarseHold)
}

// PrefersAlone reports whether a request should be bound alone, if it can be, before the owner is asked.
func (a *Arbiter) PrefersAlone() bool {
	return a.IsCoarse() && a.borrower.Idle() == 0
}

// coarseHold is the hold from which on credits hardly move between hosts.
const coarseHold = 500 * time.Millisecond

// Alone binds a request without the owner, to an endpoint that this host knows to be warm and within its share.
//
// Proved tells whether a connection to the endpoint is open on which no close was seen.
func (a *Arbiter) Alone(now time.Time, w wish.Wish, sharers int, proved func(host.Host) bool) (host.Host, bool) {
	var best host.Host
	found := false
	for _, h := range a.endpoints {
		if h.ID == w.Excluded || !a.isOpen(now, h) || !a.observer.IsWarm(now, h.ID) || !proved(h) {
			continue
		}
		if a.load(h.ID) >= share(h, sharers) {
			continue
		}
		if !found || a.load(h.ID) < a.load(best.ID) {
			best, found = h, true
		}
	}
	if found {
		a.alone[best.ID]++
	}
	return best, found
}

// load is how many requests of this host are in flight at the endpoint.
func (a *Arbiter) load(endpoint string) int {
	load := a.alone[endpoint]
	for _, h := range a.borrower.InFlight() {
		if h.Endpoint == endpoint {
			load += h.Count
		}
	}
	return load
}

// share is this host's part of what the endpoint bears.
func share(h host.Host, sharers int) int {
	sharers = max(sharers, 1)
	return (limitOf(h) + sharers - 1) / sharers
}
