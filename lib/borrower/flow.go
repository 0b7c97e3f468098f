package borrower

import (
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/binding"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
)

// settle does whatever the present time and what just happened call for.
func (b *Borrower) settle(now time.Time, a *action.Action) {
	b.serve(now, a)
	b.releaseStale(now, a)
	a.Demands = append(a.Demands, b.asked.sweep(now, b.waiting.Len() > 0)...)
	b.want(now)
	b.demandMissing(now, a)
}

// serve binds waiting requests to idle credits.
func (b *Borrower) serve(now time.Time, a *action.Action) {
	b.expire(now, a)
	for b.idle > 0 && b.waiting.Len() > 0 {
		best, next := b.bestIdle()
		var chosen *account
		id, _, ok := b.waiting.Best(func(_ uint64, key bucket, _ int) bool {
			chosen = best
			if best.id == key.excluded {
				chosen = next
			}
			return chosen != nil
		})
		if !ok {
			return
		}
		b.unwait(id)
		chosen.start()
		b.idle--
		b.running++
		a.Bound = append(a.Bound, binding.Binding{ID: id, Endpoint: chosen.id})
	}
}

// bestIdle returns the two best endpoints with idle credits, the second nil if there is one only.
func (b *Borrower) bestIdle() (best, next *account) {
	for _, n := range b.ordered {
		switch {
		case len(n.idle) == 0:
		case best == nil || n.isBetter(best):
			best, next = n, best
		case next == nil || n.isBetter(next):
			next = n
		}
	}
	return best, next
}

// receive puts one granted right to use.
func (b *Borrower) receive(now time.Time, a *action.Action, c credit.Credit, r right) {
	n := b.account(c.Endpoint)
	switch {
	case !b.isUsable(c.Endpoint, c.Cold):
		b.refused = c.Endpoint
		a.Refused = append(a.Refused, c.Endpoint)
		b.giveBack(a, n, 1)
	case c.IsExpired(now):
		b.giveBack(a, n, 1)
	case c.Cold:
		b.bindCold(now, a, n, c, r)
	default:
		n.idle = append(n.idle, idleCredit{grantedAt: now, since: now})
		b.idle++
	}
}

// bindCold uses a cold credit now or gives it back; it keeps urgent work off the endpoint unless that was asked for.
func (b *Borrower) bindCold(now time.Time, a *action.Action, n *account, c credit.Credit, r right) {
	b.expire(now, a)
	highest := max(r.bucket.urgency, demand.UrgencyNormal)
	id, _, ok := b.waiting.Best(func(_ uint64, key bucket, _ int) bool {
		return key.excluded != c.Endpoint && key.urgency <= highest
	})
	if !ok {
		b.giveBack(a, n, 1)
		return
	}
	b.unwait(id)
	n.cold++
	b.running++
	a.Bound = append(a.Bound, binding.Binding{ID: id, Endpoint: n.id, Cold: true, Until: c.Until})
}

// finish ends one request and keeps its credit where that may be used again.
func (b *Borrower) finish(now time.Time, a *action.Action, n *account, cold bool) {
	if n.cold > 0 && (cold || len(n.warm) == 0) {
		n.finishCold()
		b.running--
		b.giveBack(a, n, 1)
		return
	}
	if len(n.warm) == 0 {
		return
	}
	grantedAt, carried := n.finishWarm()
	b.running--
	if cold {
		b.releaseIdle(a, n, now)
	}
	if cold || carried || !b.isUsable(n.id, false) || !b.mayReuse(now, grantedAt) {
		b.giveBack(a, n, 1)
		return
	}
	n.idle = append(n.idle, idleCredit{grantedAt: grantedAt, since: now})
	b.idle++
}

// mayReuse says that no credit is kept for longer than the hold and the tenure while others wait for it.
func (b *Borrower) mayReuse(now, grantedAt time.Time) bool {
	if b.hold <= 0 {
		return false
	}
	return !b.isScarce(now) || now.Sub(grantedAt) < min(b.hold, b.maxTenure)
}

// releaseStale gives the idle credits back that have been kept for the hold, or all where they are scarce.
func (b *Borrower) releaseStale(now time.Time, a *action.Action) {
	since := now.Add(-b.hold)
	if b.isScarce(now) {
		since = now
	}
	for _, n := range b.ordered {
		if b.idle == 0 {
			break
		}
		b.releaseIdle(a, n, since)
	}
}

func (b *Borrower) releaseIdle(a *action.Action, n *account, since time.Time) {
	count := n.dropIdle(since)
	b.idle -= count
	b.giveBack(a, n, count)
}

// giveBack adds to the release of the endpoint, so that one event causes one release for each.
func (b *Borrower) giveBack(a *action.Action, n *account, count int) {
	if count == 0 {
		return
	}
	r := n.release(count)
	for i := range a.Releases {
		if a.Releases[i].Endpoint == r.Endpoint {
			a.Releases[i].Count += r.Count
			a.Releases[i].Completed += r.Completed
			return
		}
	}
	a.Releases = append(a.Releases, r)
}

func (b *Borrower) expire(now time.Time, a *action.Action) {
	b.waiting.Expire(now, func(id uint64, key bucket) {
		b.unwant(id, key)
		a.Expired = append(a.Expired, id)
	})
}

func (b *Borrower) unwait(id uint64) {
	if key, ok := b.waiting.Remove(id); ok {
		b.unwant(id, key)
	}
}
