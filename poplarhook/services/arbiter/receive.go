package arbiter

import (
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/release"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

const maxWaitMS = 10 * 60 * 1000

// Receive takes in a frame about the group from another entry host.
func (a *Arbiter) Receive(now time.Time, from string, frame *wire.Frame) effect.Effect {
	if a.owned == nil && isForOwner(frame) {
		a.keepEarly(now, from, frame)
		return effect.Effect{}
	}
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Credit:
		return a.receiveCredit(now, from, body.Credit)
	case *wire.Frame_Recall:
		return a.receiveRecall(now, from)
	case *wire.Frame_Demand:
		return a.receiveDemand(now, from, body.Demand)
	case *wire.Frame_Release:
		return a.receiveRelease(now, from, body.Release)
	case *wire.Frame_Holding:
		return a.receiveHolding(now, from, body.Holding)
	case *wire.Frame_Sighting:
		return a.receiveSighting(now, from, body.Sighting)
	default:
		return effect.Effect{}
	}
}

// isForOwner reports whether only the owner of a group takes such a frame in.
func isForOwner(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Demand, *wire.Frame_Release, *wire.Frame_Holding:
		return true
	default:
		return false
	}
}

// receiveCredit takes a credit of the owner; one of an earlier owner is ignored, since the new one does not know of it.
func (a *Arbiter) receiveCredit(now time.Time, from string, c *wire.Credit) effect.Effect {
	if from != a.owner || a.owned != nil {
		return effect.Effect{}
	}
	a.heardAt = now
	if wanted := time.Duration(c.GetHoldMs()) * time.Millisecond; wanted != a.ownerHold {
		a.ownerHold = wanted
		a.SetHold(a.hold)
	}
	granted := credit.Credit{
		Borrower: a.self,
		Endpoint: a.idOf(c.GetEndpoint()),
		Count:    int(c.GetCount()),
		Sequence: c.GetSequence(),
		Cold:     c.GetCold(),
		Scarce:   c.GetScarce(),
	}
	sentAt, asked := a.demanded[c.GetSequence()]
	if c.GetCold() && asked {
		granted.Until = sentAt.Add(time.Duration(c.GetTtlMs()) * time.Millisecond)
	}
	for i := range uint64(c.GetCount()) {
		delete(a.demanded, c.GetSequence()+i)
	}
	e := a.act(now, a.borrower.Accept(now, granted))
	return e
}

func (a *Arbiter) receiveRecall(now time.Time, from string) effect.Effect {
	if from != a.owner {
		return effect.Effect{}
	}
	a.heardAt = now
	return a.act(now, a.borrower.Recall(now))
}

func (a *Arbiter) receiveDemand(now time.Time, from string, d *wire.Demand) effect.Effect {
	wait := time.Duration(min(d.GetWaitMs(), maxWaitMS)) * time.Millisecond
	asked := demand.Demand{
		Borrower: from,
		Sequence: d.GetSequence(),
		Count:    int(d.GetCount()),
		Until:    now.Add(wait),
		Excluded: a.byNumber[d.GetExcluded()],
		Urgency:  int(d.GetUrgency()),
	}
	a.owned.noteDemand(now, asked)
	credits := a.owned.lender.Demand(now, asked)
	e := a.deliver(now, credits)
	if !a.short && !isAnswered(credits, from) && a.owned.mayAcknowledge(now, from) {
		e.Send(from, &wire.Frame{Body: &wire.Frame_Credit{Credit: &wire.Credit{Group: a.group.Number(), Scarce: true}}})
	}
	e.Add(a.recall(now))
	return e
}

func isAnswered(credits []credit.Credit, borrower string) bool {
	for _, c := range credits {
		if c.Borrower == borrower {
			return true
		}
	}
	return false
}

func (a *Arbiter) receiveRelease(now time.Time, from string, r *wire.Release) effect.Effect {
	endpoint := a.idOf(r.GetEndpoint())
	a.owned.completed(now, endpoint, int(r.GetCompleted()))
	e := a.deliver(now, a.owned.lender.Release(now, from, endpoint, int(r.GetCount())))
	e.Add(a.lend(now))
	return e
}

// receiveHolding takes in what a borrower has in flight, as it tells a new owner.
func (a *Arbiter) receiveHolding(now time.Time, from string, h *wire.Holding) effect.Effect {
	var e effect.Effect
	if h.GetFirst() {
		a.dropUnsent(from)
		// What it held is not free before the holdings that follow have come.
		e.Add(a.deliver(now, a.owned.lender.Forget(now, from, now.Add(a.orphanFor))))
	}
	e.Add(a.deliver(now, a.owned.hold(now, from, a.byNumber[h.GetEndpoint()], h)))
	e.Add(a.lend(now))
	return e
}

// receiveSighting takes in what another host saw; the owner passes on what concerns those who hold credits.
func (a *Arbiter) receiveSighting(now time.Time, from string, s *wire.Sighting) effect.Effect {
	if _, listed := a.byID[s.GetEndpointId()]; !listed {
		return effect.Effect{}
	}
	e := a.see(now, s)
	if a.owned == nil {
		return e
	}
	if s.GetWarm() {
		e.Add(a.lend(now))
		return e
	}
	for _, peer := range a.owned.borrowersOf(s.GetEndpointId(), a.self) {
		if peer != from {
			e.Send(peer, &wire.Frame{Body: &wire.Frame_Sighting{Sighting: s}})
		}
	}
	e.Add(a.lend(now))
	return e
}

func (a *Arbiter) demandFrame(now time.Time, d demand.Demand) *wire.Frame {
	excluded := uint32(0)
	if d.Excluded != "" {
		excluded = number(d.Excluded)
	}
	wait := max(d.Until.Sub(now).Milliseconds(), 0)
	return &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{
		Group:    a.group.Number(),
		Count:    uint32(d.Count),
		WaitMs:   uint32(min(wait, maxWaitMS)),
		Sequence: d.Sequence,
		Excluded: excluded,
		Urgency:  uint32(d.Urgency),
	}}}
}

func (a *Arbiter) releaseFrame(r release.Release) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{
		Group:     a.group.Number(),
		Endpoint:  number(r.Endpoint),
		Count:     uint32(r.Count),
		Completed: uint32(r.Completed),
	}}}
}

// settle does at the owner itself what its own borrower wants, and returns what that leads to.
func (a *Arbiter) settle(now time.Time, e *effect.Effect, wanted action.Action) action.Action {
	var credits []credit.Credit
	for _, r := range wanted.Releases {
		credits = append(credits, a.owned.lender.Release(now, a.self, r.Endpoint, r.Count)...)
	}
	for _, d := range wanted.Demands {
		credits = append(credits, a.owned.lender.Demand(now, d)...)
	}
	return a.hand(now, e, credits)
}

// deliver hands credits to this host's borrower and to others.
func (a *Arbiter) deliver(now time.Time, credits []credit.Credit) effect.Effect {
	var e effect.Effect
	wanted := a.hand(now, &e, credits)
	e.Add(a.act(now, wanted))
	return e
}

// hand sends the credits of others and returns what this host's borrower wants after its own.
func (a *Arbiter) hand(now time.Time, e *effect.Effect, credits []credit.Credit) action.Action {
	var wanted action.Action
	for _, c := range credits {
		if c.Borrower != a.self {
			e.Send(c.Borrower, a.owned.creditFrame(a.group, c, a.hold))
			continue
		}
		got := a.borrower.Accept(now, c)
		wanted.Bound = append(wanted.Bound, got.Bound...)
		wanted.Demands = append(wanted.Demands, got.Demands...)
		wanted.Releases = append(wanted.Releases, got.Releases...)
		wanted.Expired = append(wanted.Expired, got.Expired...)
	}
	return wanted
}
