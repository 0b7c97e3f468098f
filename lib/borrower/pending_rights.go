package borrower

import (
	"time"

	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/waitlist"
)

const (
	// urgencyLevels is the number of urgencies that a demand distinguishes.
	urgencyLevels = demand.UrgencyHigh + 1
	// lateRightGrace is how long a pending right is kept after its deadline, because its credit may still arrive.
	lateRightGrace = time.Minute
	// maxLateRights bounds how many pending rights are kept after their deadline.
	maxLateRights = 8192
)

// rightKind is the kind of a right: its urgency and the endpoint that its request excludes, which is empty for none.
// Rights of one kind are interchangeable.
type rightKind struct {
	urgency  int
	excluded string
}

// pendingRight is one demanded right that the owner has not answered with a credit.
type pendingRight struct {
	kind rightKind
	// excluded is the endpoint that the demand excludes. It may be set although the request excludes none; see
	// Borrower.excludedEndpoint.
	excluded   string
	demandedAt time.Time
	until      time.Time
	// resendWait is the current interval at which the demand is sent again.
	resendWait time.Duration
	// late is true once the deadline has passed; a credit may still arrive.
	late bool
}

// pendingRights holds the pending rights of one borrower by sequence number.
type pendingRights struct {
	borrower       string
	resendInterval time.Duration
	nextSequence   uint64
	rights         map[uint64]*pendingRight
	// countsByKind counts the pending rights that are not late.
	countsByKind map[rightKind]int
	// checks orders the pending rights by the time at which checkDueRights next handles them.
	checks *waitlist.Waitlist[uint64, struct{}]
	// lateOrder holds the sequence numbers of the late rights, the oldest first; some of them may have been answered
	// since.
	lateOrder []uint64
}

func newPendingRights(borrower string) pendingRights {
	return pendingRights{
		borrower:       borrower,
		resendInterval: defaultResendInterval,
		nextSequence:   1,
		rights:         make(map[uint64]*pendingRight),
		countsByKind:   make(map[rightKind]int),
		checks:         waitlist.New[uint64, struct{}](),
	}
}

// add stores a new pending right under the next sequence number and returns the demand for it.
func (l *pendingRights) add(now time.Time, kind rightKind, excluded string, until time.Time) demand.Demand {
	r := &pendingRight{kind: kind, excluded: excluded, demandedAt: now, until: until, resendWait: l.resendInterval}
	sequence := l.nextSequence
	l.nextSequence++
	l.rights[sequence] = r
	l.countsByKind[kind]++
	l.scheduleCheck(sequence, earlierTime(now.Add(r.resendWait), until))
	return l.newDemand(sequence, r)
}

// remove removes the pending right with the sequence number and returns it. It returns false if no such right is
// pending, for instance because its credit was received before.
func (l *pendingRights) remove(sequence uint64) (pendingRight, bool) {
	r, ok := l.rights[sequence]
	if !ok {
		return pendingRight{}, false
	}
	delete(l.rights, sequence)
	l.checks.Remove(sequence)
	if !r.late {
		l.decrementCount(r.kind)
	}
	return *r, true
}

// checkDueRights marks the rights whose deadline has passed as late, removes the late rights after lateRightGrace, and
// returns the demands to send again; it returns none unless isNeeded is true, which says that some request is waiting.
func (l *pendingRights) checkDueRights(now time.Time, isNeeded bool) []demand.Demand {
	var demands []demand.Demand
	l.checks.Expire(now, func(sequence uint64, _ struct{}) {
		r := l.rights[sequence]
		switch {
		case r.late:
			l.remove(sequence)
		case !now.Before(r.until):
			l.markLate(sequence, r)
		case isNeeded:
			demands = l.appendMerged(demands, l.newDemand(sequence, r), 0)
			r.resendWait *= 2
			l.scheduleCheck(sequence, earlierTime(now.Add(r.resendWait), r.until))
		default:
			l.scheduleCheck(sequence, earlierTime(now.Add(r.resendWait), r.until))
		}
	})
	return demands
}

// markLate marks a pending right as late, so that it no longer counts as demanded, and drops the oldest late right if
// more than maxLateRights are late.
func (l *pendingRights) markLate(sequence uint64, r *pendingRight) {
	r.late = true
	l.decrementCount(r.kind)
	l.scheduleCheck(sequence, r.until.Add(lateRightGrace))
	l.lateOrder = append(l.lateOrder, sequence)
	if len(l.lateOrder) > maxLateRights {
		l.remove(l.lateOrder[0])
		l.lateOrder = l.lateOrder[1:]
	}
}

func (l *pendingRights) scheduleCheck(sequence uint64, at time.Time) {
	l.checks.Push(sequence, struct{}{}, 0, at)
}

func (l *pendingRights) decrementCount(kind rightKind) {
	l.countsByKind[kind]--
	if l.countsByKind[kind] == 0 {
		delete(l.countsByKind, kind)
	}
}

func (l *pendingRights) newDemand(sequence uint64, r *pendingRight) demand.Demand {
	return demand.Demand{
		Borrower: l.borrower,
		Sequence: sequence,
		Count:    1,
		Until:    r.until,
		Excluded: r.excluded,
		Urgency:  r.kind.urgency,
	}
}

// appendMerged appends a demand or merges it into the last one. It is merged if it continues the sequence of the last
// one, has the same urgency and excluded endpoint, and the two deadlines differ by at most the given time.
func (l *pendingRights) appendMerged(demands []demand.Demand, d demand.Demand, within time.Duration) []demand.Demand {
	if n := len(demands); n > 0 && isConsecutiveDemand(demands[n-1], d, within) {
		last := &demands[n-1]
		last.Count += d.Count
		if d.Until.After(last.Until) {
			last.Until = d.Until
		}
		return demands
	}
	return append(demands, d)
}

// reset drops all pending rights; their sequence numbers are not used again.
func (l *pendingRights) reset() {
	clear(l.rights)
	clear(l.countsByKind)
	l.checks = waitlist.New[uint64, struct{}]()
	l.lateOrder = nil
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func isConsecutiveDemand(last, d demand.Demand, within time.Duration) bool {
	return last.Sequence+uint64(last.Count) == d.Sequence && d.Until.Sub(last.Until).Abs() <= within &&
		last.Excluded == d.Excluded && last.Urgency == d.Urgency
}
