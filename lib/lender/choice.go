package lender

import (
	"time"

	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
)

// starvedTrickles is how many trickle intervals a cold endpoint goes without work before urgent work warms it.
const starvedTrickles = 4

// pair holds the best endpoint and the next, which serves where the best is excluded.
type pair [2]*endpoint

func (p *pair) add(e *endpoint) {
	switch {
	case p[0] == nil || isBetter(e, p[0]):
		p[1] = p[0]
		p[0] = e
	case p[1] == nil || isBetter(e, p[1]):
		p[1] = e
	}
}

func (p *pair) pick(excluded string) *endpoint {
	if p[0] != nil && p[0].id == excluded {
		return p[1]
	}
	return p[0]
}

// isBetter prefers what is least lent for its limit, then what was granted longest ago.
func isBetter(a, b *endpoint) bool {
	left := a.total * b.limit
	right := b.total * a.limit
	if left != right {
		return left < right
	}
	if a.lastGrant != b.lastGrant {
		return a.lastGrant < b.lastGrant
	}
	return a.id < b.id
}

// choice holds the endpoints that may be granted next.
type choice struct {
	warm pair
	// trickle holds cold endpoints that need a request to warm up.
	trickle pair
	// starved holds those that have waited so long for one that urgent work serves too.
	starved pair
	// spare holds cold endpoints that can bear one more request.
	spare pair
	// beyond holds warm endpoints at their limit that may take a right that has waited for long.
	beyond pair
}

func (c *choice) isEmpty() bool {
	return c.warm[0] == nil && c.trickle[0] == nil && c.spare[0] == nil && c.beyond[0] == nil
}

// pick keeps urgent work off cold endpoints while a warm one is free, unless they would never warm up.
func (c *choice) pick(excluded string, urgency int) *endpoint {
	needy := &c.trickle
	if urgency >= demand.UrgencyHigh {
		needy = &c.starved
	}
	for _, from := range []*pair{needy, &c.warm, &c.trickle, &c.spare} {
		if e := from.pick(excluded); e != nil {
			return e
		}
	}
	return nil
}

func (l *Lender) choose(now time.Time) choice {
	var c choice
	coldAllowed := now.Before(l.coldUntil)
	impatient := l.hasImpatient(now)
	for _, e := range l.ordered {
		switch {
		case !e.isFree(now):
			if impatient && e.isFreeBeyond(now) {
				c.beyond.add(e)
			}
		case !e.cold:
			c.warm.add(e)
		case !coldAllowed:
		case e.total == 0 && now.Sub(e.warmedAt) >= l.trickle:
			c.trickle.add(e)
			if now.Sub(later(e.warmedAt, e.coldSince)) >= starvedTrickles*l.trickle {
				c.starved.add(e)
			}
		default:
			c.spare.add(e)
		}
	}
	return c
}

func (l *Lender) grant(now time.Time) []credit.Credit {
	return l.finish(now, l.answer(now))
}

// answer answers waiting rights as long as endpoints are free.
func (l *Lender) answer(now time.Time) []credit.Credit {
	l.expire(now)
	var credits []credit.Credit
	for l.isGrantable() {
		c := l.choose(now)
		if c.isEmpty() {
			break
		}
		key, chosen := l.next(now, c)
		if chosen == nil {
			break
		}
		credits = append(credits, l.lend(now, key, chosen))
	}
	return credits
}

// next returns the right to grant next and the endpoint for it, nil for none.
func (l *Lender) next(now time.Time, c choice) (next right, chosen *endpoint) {
	level := 0
	l.waiting.Best(func(key right, asked wanted, urgency int) bool {
		if l.reserved != "" && l.reserved != key.borrower {
			return false
		}
		e := c.pick(asked.excluded, urgency)
		if e == nil && l.isImpatient(now, asked) {
			e = c.beyond.pick(asked.excluded)
		}
		if e == nil || chosen != nil && (urgency != level || l.account(key.borrower).held >= l.account(next.borrower).held) {
			return false
		}
		next, chosen, level = key, e, urgency
		return !l.even
	})
	return next, chosen
}

// isGrantable reports whether a right waits that may be granted.
func (l *Lender) isGrantable() bool {
	if l.reserved != "" {
		return l.account(l.reserved).waiting > 0
	}
	return l.waiting.Len() > 0
}

func (l *Lender) lend(now time.Time, key right, e *endpoint) credit.Credit {
	l.grants++
	e.lend(key.borrower)
	e.lastGrant = l.grants
	granted := credit.Credit{
		Borrower: key.borrower,
		Endpoint: e.id,
		Count:    1,
		Sequence: key.sequence,
		Cold:     e.cold,
	}
	if e.cold {
		e.warmedAt = now
		granted.Until = earliest(l.waiting.Until(key), now.Add(l.coldValidity), l.coldUntil)
		e.coldEnds = later(e.coldEnds, granted.Until)
	}
	l.waiting.Remove(key)
	a := l.account(key.borrower)
	a.waiting--
	a.held++
	a.remember(granted)
	return granted
}

// finish marks what is scarce and joins neighbouring rights of one endpoint.
func (l *Lender) finish(now time.Time, credits []credit.Credit) []credit.Credit {
	var joined []credit.Credit
	for _, c := range credits {
		a := l.account(c.Borrower)
		c = c.WithScarce(l.isScarceFor(a))
		a.hear(now, c.Scarce)
		if n := len(joined); n > 0 && isNext(joined[n-1], c) {
			joined[n-1].Count++
			continue
		}
		joined = append(joined, c)
	}
	return joined
}

func isNext(last, c credit.Credit) bool {
	return last.Borrower == c.Borrower && last.Endpoint == c.Endpoint && !last.Cold && !c.Cold &&
		c.Sequence == last.Sequence+uint64(last.Count)
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
