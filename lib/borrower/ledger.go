package borrower

import (
	"time"

	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/waitlist"
)

const (
	// urgencies is the number of levels that a demand distinguishes.
	urgencies = demand.UrgencyHigh + 1
	// lateGrace is how long after its deadline a right may still be answered.
	lateGrace = time.Minute
	// maxLate bounds the rights that are remembered after their deadline.
	maxLate = 8192
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
	counts   map[bucket]int
	// due orders the rights by when they have to be looked at.
	due *waitlist.Waitlist[uint64, struct{}]
	// late holds the numbers of late rights, the oldest first; some may be answered.
	late []uint64
}

func newLedger(borrower string) ledger {
	return ledger{
		borrower: borrower,
		resend:   defaultResend,
		next:     1,
		rights:   make(map[uint64]*right),
		counts:   make(map[bucket]int),
		due:      waitlist.New[uint64, struct{}](),
	}
}

// ask notes a new right and returns the demand for it.
func (l *ledger) ask(now time.Time, key bucket, excluded string, until time.Time) demand.Demand {
	r := &right{bucket: key, excluded: excluded, until: until, wait: l.resend}
	sequence := l.next
	l.next++
	l.rights[sequence] = r
	l.counts[key]++
	l.look(sequence, earlier(now.Add(r.wait), until))
	return l.demand(sequence, r)
}

// take removes an answered right; a right that is not waited for is a repeated answer.
func (l *ledger) take(sequence uint64) (right, bool) {
	r, ok := l.rights[sequence]
	if !ok {
		return right{}, false
	}
	delete(l.rights, sequence)
	l.due.Remove(sequence)
	if !r.late {
		l.uncount(r.bucket)
	}
	return *r, true
}

// sweep notes the rights whose deadline has passed and returns the demands to send again.
func (l *ledger) sweep(now time.Time, isNeeded bool) []demand.Demand {
	var demands []demand.Demand
	l.due.Expire(now, func(sequence uint64, _ struct{}) {
		r := l.rights[sequence]
		switch {
		case r.late:
			l.take(sequence)
		case !now.Before(r.until):
			l.expire(sequence, r)
		case isNeeded:
			demands = l.join(demands, l.demand(sequence, r), 0)
			r.wait *= 2
			l.look(sequence, earlier(now.Add(r.wait), r.until))
		default:
			l.look(sequence, earlier(now.Add(r.wait), r.until))
		}
	})
	return demands
}

// expire marks a right late, and forgets the oldest of too many.
func (l *ledger) expire(sequence uint64, r *right) {
	r.late = true
	l.uncount(r.bucket)
	l.look(sequence, r.until.Add(lateGrace))
	l.late = append(l.late, sequence)
	if len(l.late) > maxLate {
		l.take(l.late[0])
		l.late = l.late[1:]
	}
}

func (l *ledger) look(sequence uint64, at time.Time) {
	l.due.Push(sequence, struct{}{}, 0, at)
}

func (l *ledger) uncount(key bucket) {
	l.counts[key]--
	if l.counts[key] == 0 {
		delete(l.counts, key)
	}
}

func (l *ledger) demand(sequence uint64, r *right) demand.Demand {
	return demand.Demand{
		Borrower: l.borrower,
		Sequence: sequence,
		Count:    1,
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
	l.due = waitlist.New[uint64, struct{}]()
	l.late = nil
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
