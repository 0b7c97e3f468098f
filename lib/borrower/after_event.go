package borrower

import (
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/binding"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
)

// afterEvent runs after each event and adds to the action the bindings, releases, demands and expired requests that
// result from the event and from the time that has passed.
func (b *Borrower) afterEvent(now time.Time, a *action.Action) {
	b.bindToIdle(now, a)
	b.releaseStale(now, a)
	a.Demands = append(a.Demands, b.pending.checkDueRights(now, b.waiting.Len() > 0)...)
	b.endLocalWaits(now)
	b.demandLackingRights(now, a)
}

// bindToIdle binds waiting requests to idle credits.
func (b *Borrower) bindToIdle(now time.Time, a *action.Action) {
	b.expireWaiting(now, a)
	for b.idleCount > 0 && b.waiting.Len() > 0 {
		best, next := b.findBestIdle()
		var chosen *account
		id, _, ok := b.waiting.FirstAccepted(func(_ uint64, kind rightKind, _ int) bool {
			chosen = best
			if best.id == kind.excluded {
				chosen = next
			}
			return chosen != nil
		})
		if !ok {
			return
		}
		b.removeWaiting(id)
		chosen.startLatestIdle()
		b.idleCount--
		b.inFlightCount++
		a.Bound = append(a.Bound, binding.Binding{ID: id, Endpoint: chosen.id})
	}
}

// findBestIdle returns the two best endpoints with idle credits; next is nil if there is only one.
func (b *Borrower) findBestIdle() (best, next *account) {
	for _, acc := range b.ordered {
		switch {
		case len(acc.idle) == 0:
		case best == nil || acc.isPreferred(best):
			best, next = acc, best
		case next == nil || acc.isPreferred(next):
			next = acc
		}
	}
	return best, next
}

// useGrantedRight handles the credit that answers one pending right: it binds a request to a cold credit, keeps a warm
// one as idle, or releases the credit if it cannot be used.
func (b *Borrower) useGrantedRight(now time.Time, a *action.Action, c credit.Credit, r pendingRight) {
	acc := b.account(c.Endpoint)
	switch {
	case !b.isUsable(c.Endpoint, c.Cold):
		b.refusedEndpoint = c.Endpoint
		a.Refused = append(a.Refused, c.Endpoint)
		b.addRelease(a, acc, 1)
	case c.IsExpired(now):
		b.addRelease(a, acc, 1)
	case c.Cold:
		b.bindCold(now, a, acc, c, r)
	default:
		acc.idle = append(acc.idle, idleCredit{grantedAt: now, idleSince: now})
		b.idleCount++
	}
}

// bindCold binds a request to a cold credit or releases the credit. Urgent requests are not bound to cold endpoints,
// unless the right was demanded for an urgent request.
func (b *Borrower) bindCold(now time.Time, a *action.Action, acc *account, c credit.Credit, r pendingRight) {
	b.expireWaiting(now, a)
	highest := max(r.kind.urgency, demand.UrgencyNormal)
	id, _, ok := b.waiting.FirstAccepted(func(_ uint64, kind rightKind, _ int) bool {
		return kind.excluded != c.Endpoint && kind.urgency <= highest
	})
	if !ok {
		b.addRelease(a, acc, 1)
		return
	}
	b.removeWaiting(id)
	acc.coldInFlight++
	b.inFlightCount++
	a.Bound = append(a.Bound, binding.Binding{ID: id, Endpoint: acc.id, Cold: true, Until: c.Until})
}

// finishRequest ends one request and keeps its credit if it may be used again.
func (b *Borrower) finishRequest(now time.Time, a *action.Action, acc *account, cold bool) {
	if acc.coldInFlight > 0 && (cold || len(acc.warmGrantTimes) == 0) {
		acc.finishCold()
		b.inFlightCount--
		b.addRelease(a, acc, 1)
		return
	}
	if len(acc.warmGrantTimes) == 0 {
		return
	}
	grantedAt, carried := acc.finishWarm()
	b.inFlightCount--
	if cold {
		b.releaseIdle(a, acc, now)
	}
	if cold || carried || !b.isUsable(acc.id, false) || !b.mayReuse(now, grantedAt) {
		b.addRelease(a, acc, 1)
		return
	}
	acc.idle = append(acc.idle, idleCredit{grantedAt: grantedAt, idleSince: now})
	b.idleCount++
}

// mayReuse reports whether a credit may be kept for another request: never with a hold time of zero, and otherwise
// always while credits are not scarce. While they are, a credit must be released once its grant is as long ago as the
// scarce reuse time.
func (b *Borrower) mayReuse(now, grantedAt time.Time) bool {
	if b.holdTime <= 0 {
		return false
	}
	return !b.isCreditScarce(now) || now.Sub(grantedAt) < b.scarceReuseTime()
}

// scarceReuseTime returns how long after its grant a scarce credit may be used for another request.
//
// An endpoint has no work on a credit in transit. The farther away the owner is, the more requests a credit has to
// serve for each transfer, or else the transfers and not the endpoints limit how many requests are served.
func (b *Borrower) scarceReuseTime() time.Duration {
	return max(min(b.holdTime, b.maxReuseTime), reuseTransferTimes*b.transfer.transferTime())
}

// releaseStale releases the credits that have been idle for the hold time, or all idle credits while credits are
// scarce.
func (b *Borrower) releaseStale(now time.Time, a *action.Action) {
	since := now.Add(-b.holdTime)
	if b.isCreditScarce(now) {
		since = now
	}
	for _, acc := range b.ordered {
		if b.idleCount == 0 {
			break
		}
		b.releaseIdle(a, acc, since)
	}
}

func (b *Borrower) releaseIdle(a *action.Action, acc *account, since time.Time) {
	count := acc.dropIdle(since)
	b.idleCount -= count
	b.addRelease(a, acc, count)
}

// addRelease adds a release of credits to the action. It extends an existing release of the same endpoint, so that one
// event causes only one release for each endpoint.
func (b *Borrower) addRelease(a *action.Action, acc *account, count int) {
	if count == 0 {
		return
	}
	r := acc.newRelease(count)
	for i := range a.Releases {
		if a.Releases[i].Endpoint == r.Endpoint {
			a.Releases[i].Count += r.Count
			a.Releases[i].Completed += r.Completed
			return
		}
	}
	a.Releases = append(a.Releases, r)
}

func (b *Borrower) expireWaiting(now time.Time, a *action.Action) {
	b.waiting.Expire(now, func(id uint64, kind rightKind) {
		b.removeNeeded(id, kind)
		a.Expired = append(a.Expired, id)
	})
}

func (b *Borrower) removeWaiting(id uint64) {
	if kind, ok := b.waiting.Remove(id); ok {
		b.removeNeeded(id, kind)
	}
}
