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

// Receive handles a frame about the group from another entry host.
func (a *Arbiter) Receive(now time.Time, from string, frame *wire.Frame) effect.Effect {
	if a.ownership == nil && isForOwner(frame) {
		a.queueEarlyFrame(now, from, frame)
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

// isForOwner reports whether only the owner of a group handles such a frame.
func isForOwner(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Demand, *wire.Frame_Release, *wire.Frame_Holding:
		return true
	default:
		return false
	}
}

// receiveCredit accepts a credit from the owner. A credit from a previous owner is ignored, since the new owner does
// not know of it.
func (a *Arbiter) receiveCredit(now time.Time, from string, c *wire.Credit) effect.Effect {
	if from != a.owner || a.ownership != nil {
		return effect.Effect{}
	}
	a.lastOwnerMessageAt = now
	if holdTime := time.Duration(c.GetHoldMs()) * time.Millisecond; holdTime != a.ownerHoldTime {
		a.ownerHoldTime = holdTime
		a.SetHoldTime(a.holdTime)
	}
	granted := credit.Credit{
		Borrower: a.self,
		Endpoint: a.idOf(c.GetEndpoint()),
		Count:    int(c.GetCount()),
		Sequence: c.GetSequence(),
		Cold:     c.GetCold(),
		Scarce:   c.GetScarce(),
	}
	sentAt, recorded := a.demandSentAt[c.GetSequence()]
	if c.GetCold() && recorded {
		granted.Until = sentAt.Add(time.Duration(c.GetTtlMs()) * time.Millisecond)
	}
	for i := range uint64(c.GetCount()) {
		delete(a.demandSentAt, c.GetSequence()+i)
	}
	e := a.performActions(now, a.borrower.Accept(now, granted))
	return e
}

func (a *Arbiter) receiveRecall(now time.Time, from string) effect.Effect {
	if from != a.owner {
		return effect.Effect{}
	}
	a.lastOwnerMessageAt = now
	return a.performActions(now, a.borrower.Recall(now))
}

func (a *Arbiter) receiveDemand(now time.Time, from string, d *wire.Demand) effect.Effect {
	wait := time.Duration(min(d.GetWaitMs(), maxWaitMS)) * time.Millisecond
	demanded := demand.Demand{
		Borrower: from,
		Sequence: d.GetSequence(),
		Count:    int(d.GetCount()),
		Until:    now.Add(wait),
		Excluded: a.byNumber[d.GetExcluded()],
		Urgency:  int(d.GetUrgency()),
	}
	a.ownership.recordDemand(now, demanded)
	credits := a.ownership.lender.Demand(now, demanded)
	e := a.deliverCredits(now, credits)
	if !a.controlBudgetLow && !hasCreditFor(credits, from) && a.ownership.recordAcknowledgementIfDue(now, from) {
		e.Send(from, &wire.Frame{Body: &wire.Frame_Credit{Credit: &wire.Credit{Group: a.group.Number(), Scarce: true}}})
	}
	e.Add(a.recallIdleCredits(now))
	return e
}

func hasCreditFor(credits []credit.Credit, borrower string) bool {
	for _, c := range credits {
		if c.Borrower == borrower {
			return true
		}
	}
	return false
}

func (a *Arbiter) receiveRelease(now time.Time, from string, r *wire.Release) effect.Effect {
	endpoint := a.idOf(r.GetEndpoint())
	a.ownership.recordCompleted(now, endpoint, int(r.GetCompleted()))
	e := a.deliverCredits(now, a.ownership.lender.Release(now, from, endpoint, int(r.GetCount())))
	e.Add(a.grantAvailable(now))
	return e
}

// receiveHolding handles a borrower's report of its requests in flight, which it sends to a new owner and on a new
// link.
func (a *Arbiter) receiveHolding(now time.Time, from string, h *wire.Holding) effect.Effect {
	var e effect.Effect
	if h.GetFirst() {
		a.dropUnsentFrames(from)
		// Credits that the borrower held before stay in use until the holding frames that follow have arrived.
		e.Add(a.deliverCredits(now, a.ownership.lender.DropBorrower(now, from, now.Add(a.orphanTimeout))))
	}
	e.Add(a.deliverCredits(now, a.ownership.applyHolding(now, from, a.byNumber[h.GetEndpoint()], h)))
	e.Add(a.grantAvailable(now))
	return e
}

// receiveSighting applies what another host observed. The owner passes it on to the borrowers that hold credits for
// the endpoint, unless it reports that the endpoint is warm.
func (a *Arbiter) receiveSighting(now time.Time, from string, s *wire.Sighting) effect.Effect {
	if _, listed := a.byID[s.GetEndpointId()]; !listed {
		return effect.Effect{}
	}
	e := a.applySighting(now, s)
	if a.ownership == nil {
		return e
	}
	if s.GetWarm() {
		e.Add(a.grantAvailable(now))
		return e
	}
	for _, peer := range a.ownership.borrowersOf(s.GetEndpointId(), a.self) {
		if peer != from {
			e.Send(peer, &wire.Frame{Body: &wire.Frame_Sighting{Sighting: s}})
		}
	}
	e.Add(a.grantAvailable(now))
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

// performAtOwner carries out the actions of the owner's own borrower at its lender, and returns the actions that
// result.
func (a *Arbiter) performAtOwner(now time.Time, e *effect.Effect, requested action.Action) action.Action {
	var credits []credit.Credit
	for _, r := range requested.Releases {
		credits = append(credits, a.ownership.lender.Release(now, a.self, r.Endpoint, r.Count)...)
	}
	for _, d := range requested.Demands {
		credits = append(credits, a.ownership.lender.Demand(now, d)...)
	}
	return a.distributeCredits(now, e, credits)
}

// deliverCredits distributes credits to this host's borrower and to peers, and performs the actions that result.
func (a *Arbiter) deliverCredits(now time.Time, credits []credit.Credit) effect.Effect {
	var e effect.Effect
	requested := a.distributeCredits(now, &e, credits)
	e.Add(a.performActions(now, requested))
	return e
}

// distributeCredits queues the credits of peers for sending, gives this host's borrower its own, and returns the
// borrower's resulting actions.
func (a *Arbiter) distributeCredits(now time.Time, e *effect.Effect, credits []credit.Credit) action.Action {
	var requested action.Action
	for _, c := range credits {
		if c.Borrower != a.self {
			e.Send(c.Borrower, a.ownership.creditFrame(a.group, c, a.holdTime))
			continue
		}
		accepted := a.borrower.Accept(now, c)
		requested.Bound = append(requested.Bound, accepted.Bound...)
		requested.Demands = append(requested.Demands, accepted.Demands...)
		requested.Releases = append(requested.Releases, accepted.Releases...)
		requested.Expired = append(requested.Expired, accepted.Expired...)
	}
	return requested
}
