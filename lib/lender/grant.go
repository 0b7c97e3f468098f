package lender

import (
	"time"

	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
)

// starvedWarmUpIntervals is how many warm-up intervals a cold endpoint goes without work before urgent requests may be
// sent to it to warm it up.
const starvedWarmUpIntervals = 4

// candidatePair holds the best endpoint and the second best, which is used if the best is excluded.
type candidatePair [2]*endpoint

func (p *candidatePair) add(e *endpoint) {
	switch {
	case p[0] == nil || isPreferredEndpoint(e, p[0]):
		p[1] = p[0]
		p[0] = e
	case p[1] == nil || isPreferredEndpoint(e, p[1]):
		p[1] = e
	}
}

func (p *candidatePair) pick(excluded string) *endpoint {
	if p[0] != nil && p[0].id == excluded {
		return p[1]
	}
	return p[0]
}

// isPreferredEndpoint reports whether a is granted rather than b: the endpoint with the smaller share of its limit lent
// is preferred, then the one whose last grant is older, then the lower id.
func isPreferredEndpoint(a, b *endpoint) bool {
	left := a.lentTotal * b.limit
	right := b.lentTotal * a.limit
	if left != right {
		return left < right
	}
	if a.lastGrantNumber != b.lastGrantNumber {
		return a.lastGrantNumber < b.lastGrantNumber
	}
	return a.id < b.id
}

// candidates holds the endpoints that may be granted next.
type candidates struct {
	warm candidatePair
	// warmUp holds cold endpoints that are due for a request that warms them up.
	warmUp candidatePair
	// starved holds the endpoints of warmUp that have gone without work for so long that urgent requests may go there
	// too.
	starved candidatePair
	// spare holds the other cold endpoints that are below their limit.
	spare candidatePair
	// overLimit holds warm endpoints that have reached their limit but may take an overdue right.
	overLimit candidatePair
}

func (c *candidates) isEmpty() bool {
	return c.warm[0] == nil && c.warmUp[0] == nil && c.spare[0] == nil && c.overLimit[0] == nil
}

// pick returns the endpoint below its limit to grant for a right, or nil if there is none. It prefers a cold endpoint
// that is due for a warm-up request. An urgent right gets a warm endpoint if possible, unless a cold endpoint is
// starved: without urgent requests that endpoint might never warm up.
func (c *candidates) pick(excluded string, urgency int) *endpoint {
	dueForWarmUp := &c.warmUp
	if urgency >= demand.UrgencyHigh {
		dueForWarmUp = &c.starved
	}
	for _, group := range []*candidatePair{dueForWarmUp, &c.warm, &c.warmUp, &c.spare} {
		if e := group.pick(excluded); e != nil {
			return e
		}
	}
	return nil
}

func (l *Lender) findCandidates(now time.Time) candidates {
	var c candidates
	coldAllowed := now.Before(l.coldAllowedUntil)
	overdue := l.hasOverdue(now)
	for _, e := range l.ordered {
		switch {
		case !e.hasRoom(now):
			if overdue && e.hasOverLimitRoom(now) {
				c.overLimit.add(e)
			}
		case !e.cold:
			c.warm.add(e)
		case !coldAllowed:
		case e.lentTotal == 0 && now.Sub(e.lastColdGrantAt) >= l.warmUpInterval:
			c.warmUp.add(e)
			if now.Sub(laterTime(e.lastColdGrantAt, e.coldSince)) >= starvedWarmUpIntervals*l.warmUpInterval {
				c.starved.add(e)
			}
		default:
			c.spare.add(e)
		}
	}
	return c
}

func (l *Lender) grantWaiting(now time.Time) []credit.Credit {
	return l.markAndMerge(now, l.answerWaiting(now))
}

// answerWaiting grants waiting rights until none is left or no endpoint has room.
func (l *Lender) answerWaiting(now time.Time) []credit.Credit {
	l.expireWaiting(now)
	var credits []credit.Credit
	for l.isGrantable() {
		c := l.findCandidates(now)
		if c.isEmpty() {
			break
		}
		key, chosen := l.nextGrant(now, c)
		if chosen == nil {
			break
		}
		credits = append(credits, l.lend(now, key, chosen))
	}
	return credits
}

// nextGrant returns the right to grant next and the endpoint for it; the endpoint is nil if nothing can be granted.
func (l *Lender) nextGrant(now time.Time, c candidates) (next rightKey, chosen *endpoint) {
	level := 0
	l.waiting.FirstAccepted(func(key rightKey, details rightDetails, urgency int) bool {
		if l.reservedFor != "" && l.reservedFor != key.borrower {
			return false
		}
		e := c.pick(details.excluded, urgency)
		if e == nil && l.isOverdue(now, details) {
			e = c.overLimit.pick(details.excluded)
		}
		if e == nil || chosen != nil && (urgency != level || l.account(key.borrower).held >= l.account(next.borrower).held) {
			return false
		}
		next, chosen, level = key, e, urgency
		return !l.fewestFirst
	})
	return next, chosen
}

// isGrantable reports whether a right is waiting that the reservation allows to be granted.
func (l *Lender) isGrantable() bool {
	if l.reservedFor != "" {
		return l.account(l.reservedFor).waiting > 0
	}
	return l.waiting.Len() > 0
}

func (l *Lender) lend(now time.Time, key rightKey, e *endpoint) credit.Credit {
	l.grants++
	e.lend(key.borrower)
	e.lastGrantNumber = l.grants
	granted := credit.Credit{
		Borrower: key.borrower,
		Endpoint: e.id,
		Count:    1,
		Sequence: key.sequence,
		Cold:     e.cold,
	}
	if e.cold {
		e.lastColdGrantAt = now
		granted.Until = earliestTime(l.waiting.Deadline(key), now.Add(l.coldValidity), l.coldAllowedUntil)
		e.coldCreditsUntil = laterTime(e.coldCreditsUntil, granted.Until)
	}
	l.waiting.Remove(key)
	a := l.account(key.borrower)
	a.waiting--
	a.held++
	a.rememberAnswer(granted)
	return granted
}

// markAndMerge sets the scarcity mark of each credit and merges credits of consecutive rights at one endpoint.
func (l *Lender) markAndMerge(now time.Time, credits []credit.Credit) []credit.Credit {
	var merged []credit.Credit
	for _, c := range credits {
		a := l.account(c.Borrower)
		c = c.WithScarce(l.hasOtherWaiting(a))
		a.recordScarcity(now, c.Scarce)
		if n := len(merged); n > 0 && isConsecutiveCredit(merged[n-1], c) {
			merged[n-1].Count++
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// isConsecutiveCredit reports whether c can be merged into last: it is for the same borrower and endpoint and answers
// the next right. Cold credits are never merged.
func isConsecutiveCredit(last, c credit.Credit) bool {
	return last.Borrower == c.Borrower && last.Endpoint == c.Endpoint && !last.Cold && !c.Cold &&
		c.Sequence == last.Sequence+uint64(last.Count)
}

func earliestTime(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
