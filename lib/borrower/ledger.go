package borrower

import (
	"time"

	"poplarhook.example/lib/demand"
)

const (
	// urgencies is the number of levels that a demand distinguishes.
	urgencies = demand.UrgencyHigh + 1
	// lateGrace is how long after its deadline a right may still be answered.
	lateGrace = time.Minute
	// maxAsked bounds the rights that are remembered.
	maxAsked = 8192
)

// bucket tells apart the rights that cannot stand in for each other.
type bucket struct {
	urgency  int
	excluded string
}

// right is one demanded right that the owner has not answered.
type right struct {
	bucket bucket
	// excluded is what the demand excludes, which may be more than the request does.
	excluded string
	until    time.Time
	sendAt   time.Time
	wait     time.Duration
	// late says that the deadline has passed; a credit may still come.
	late bool
}

// ledger holds the demanded rights that are unanswered.
type ledger struct {
	borrower string
	resend   time.Duration
	next     uint64
	rights   map[uint64]*right
	// order holds the numbers of the rights, rising; answered ones leave it at the next sweep.
	order  []uint64
	counts map[bucket]int
	sendAt time.Time
}

func newLedger(borrower string) ledger {
	return ledger{
		borrower: borrower,
		resend:   defaultResend,
		next:     1,
		rights:   make(map[uint64]*right),
		counts:   make(map[bucket]int),
	}
}

// ask notes count new rights and returns the demand for them.
func (l *ledger) ask(now time.Time, key bucket, excluded string, until time.Time, count int) demand.Demand {
	first := l.next
	for range count {
		l.rights[l.next] = &right{bucket: key, excluded: excluded, until: until, sendAt: now.Add(l.resend), wait: l.resend}
		l.order = append(l.order, l.next)
		l.next++
	}
	l.counts[key] += count
	l.wakeAt(now.Add(l.resend))
	l.wakeAt(until)
	return l.demand(first, count, l.rights[first])
}

// take removes an answered right; a right that is not waited for is a repeated answer.
func (l *ledger) take(sequence uint64) (right, bool) {
	r, ok := l.rights[sequence]
	if !ok {
		return right{}, false
	}
	delete(l.rights, sequence)
	if !r.late {
		l.uncount(r.bucket)
	}
	return *r, true
}

// sweep notes the rights whose deadline has passed and returns the demands to send again.
func (l *ledger) sweep(now time.Time, isNeeded bool) []demand.Demand {
	if len(l.order) == 0 || now.Before(l.sendAt) {
		return nil
	}
	l.sendAt = time.Time{}
	kept := l.order[:0]
	var demands []demand.Demand
	for _, sequence := range l.order {
		r, ok := l.rights[sequence]
		if !ok {
			continue
		}
		if l.isOver(now, r) || len(l.rights) > maxAsked {
			l.take(sequence)
			continue
		}
		kept = append(kept, sequence)
		if !r.late && isNeeded && !now.Before(r.sendAt) {
			demands = l.join(demands, l.demand(sequence, 1, r), 0)
			r.wait *= 2
			r.sendAt = now.Add(r.wait)
		}
		l.wakeFor(now, r)
	}
	l.order = kept
	return demands
}

// isOver marks a right late at its deadline and reports whether to forget it.
func (l *ledger) isOver(now time.Time, r *right) bool {
	if !r.late && !now.Before(r.until) {
		r.late = true
		l.uncount(r.bucket)
	}
	return r.late && !now.Before(r.until.Add(lateGrace))
}

func (l *ledger) wakeFor(now time.Time, r *right) {
	switch {
	case r.late:
		l.wakeAt(r.until.Add(lateGrace))
	case r.sendAt.After(now):
		l.wakeAt(earlier(r.sendAt, r.until))
	default:
		l.wakeAt(earlier(now.Add(l.resend), r.until))
	}
}

func (l *ledger) wakeAt(at time.Time) {
	if l.sendAt.IsZero() || at.Before(l.sendAt) {
		l.sendAt = at
	}
}

func (l *ledger) uncount(key bucket) {
	l.counts[key]--
	if l.counts[key] == 0 {
		delete(l.counts, key)
	}
}

func (l *ledger) demand(sequence uint64, count int, r *right) demand.Demand {
	return demand.Demand{
		Borrower: l.borrower,
		Sequence: sequence,
		Count:    count,
		Until:    r.until,
		Excluded: r.excluded,
		Urgency:  r.bucket.urgency,
	}
}

// join appends a demand, as part of the last one where it continues that within the given time.
func (l *ledger) join(demands []demand.Demand, d demand.Demand, within time.Duration) []demand.Demand {
	if n := len(demands); n > 0 && isNext(demands[n-1], d, within) {
		last := &demands[n-1]
		last.Count += d.Count
		if d.Until.After(last.Until) {
			last.Until = d.Until
		}
		return demands
	}
	return append(demands, d)
}

// reset forgets all rights; their numbers are not used again.
func (l *ledger) reset() {
	clear(l.rights)
	clear(l.counts)
	l.order = nil
	l.sendAt = time.Time{}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func isNext(last, d demand.Demand, within time.Duration) bool {
	return last.Sequence+uint64(last.Count) == d.Sequence && d.Until.Sub(last.Until).Abs() <= within &&
		last.Excluded == d.Excluded && last.Urgency == d.Urgency
}
