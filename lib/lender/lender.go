package lender

import (
	"cmp"
	"slices"
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/loan"
	"poplarhook.example/lib/waitlist"
)

// maxRightsPerDemand bounds how many rights of one demand are considered; the others are ignored.
const maxRightsPerDemand = 1024

// overLentRecallInterval is the minimum time between recalls from a borrower that holds credits of an over-lent
// endpoint, which is one that was closed or whose hard limit fell below the credits lent.
const overLentRecallInterval = time.Second

// Lender lends the capacity of a group's endpoints to borrowers, as credits.
//
// A grant keeps the credits lent of an endpoint within its limit, except for overdue rights, which have waited for the
// over-limit wait or longer. Credits in transit count towards the limit while slots of the endpoint are idle, so
// overdue rights are granted up to the HardLimit of the capacity. A Lender is not safe for concurrent use.
type Lender struct {
	coldValidity   time.Duration
	warmUpInterval time.Duration
	recallInterval time.Duration
	overLimitWait  time.Duration

	// coldAllowedUntil is the time until which cold endpoints may be granted.
	coldAllowedUntil time.Time
	// reservedFor is the only borrower that is granted credits; it is empty if every borrower may be.
	reservedFor string
	// fewestFirst is true if, among equally urgent rights, the borrower with the fewest credits is granted first.
	fewestFirst bool
	endpoints   map[string]*endpoint
	// ordered holds the endpoints sorted by id, so that replaying a trace always has the same outcome.
	ordered  []*endpoint
	accounts map[string]*account
	waiting  *waitlist.Waitlist[rightKey, rightDetails]
	// arrivals holds the rights in the order in which they arrived; some of them may no longer be waiting.
	arrivals []arrival
	grants   uint64
	// hasOverLent is true if some endpoint was over-lent at the last sweep.
	hasOverLent bool
}

// rightKey identifies one demanded right.
type rightKey struct {
	borrower string
	sequence uint64
}

// rightDetails is what the lender knows of a waiting right besides its urgency and deadline.
type rightDetails struct {
	excluded     string
	waitingSince time.Time
}

// arrival records when a right began to wait.
type arrival struct {
	key          rightKey
	waitingSince time.Time
}

// New returns a Lender that knows no endpoints and may not lend cold ones.
func New(options ...Option) *Lender {
	l := &Lender{
		coldValidity:   ColdValidity,
		warmUpInterval: defaultWarmUpInterval,
		recallInterval: defaultRecallInterval,
		overLimitWait:  defaultOverLimitWait,
		endpoints:      make(map[string]*endpoint),
		accounts:       make(map[string]*account),
		waiting:        waitlist.New[rightKey, rightDetails](),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetCapacities replaces the capacities of all endpoints; an endpoint that is missing is closed: it is granted no more.
func (l *Lender) SetCapacities(now time.Time, capacities []capacity.Capacity) []credit.Credit {
	for _, e := range l.ordered {
		e.unlist()
	}
	for _, c := range capacities {
		l.endpoint(c.Endpoint).setCapacity(now, c)
	}
	l.sweep(now)
	return l.grantWaiting(now)
}

// AllowCold permits grants of cold endpoints until the given time, up to which the owner holds the lease for them.
func (l *Lender) AllowCold(until time.Time) {
	l.coldAllowedUntil = until
}

// ReserveFor restricts grants to one borrower; the rights of all others wait. An empty name lifts the restriction.
func (l *Lender) ReserveFor(borrower string) {
	l.reservedFor = borrower
}

// SetFewestFirst sets whether, among equally urgent rights, the borrower with the fewest credits is granted first
// instead of the right with the earliest deadline.
func (l *Lender) SetFewestFirst(fewestFirst bool) {
	l.fewestFirst = fewestFirst
}

// Demand queues the rights that a borrower demands; a right that was already answered gets the same answer again.
func (l *Lender) Demand(now time.Time, d demand.Demand) []credit.Credit {
	if d.IsExpired(now) {
		return l.grantWaiting(now)
	}
	a := l.account(d.Borrower)
	var repeated []credit.Credit
	for i := range uint64(min(max(d.Count, 0), maxRightsPerDemand)) {
		key := rightKey{d.Borrower, d.Sequence + i}
		if l.waiting.Has(key) || a.isAnswerDropped(key.sequence) {
			continue
		}
		if answer, ok := a.answers[key.sequence]; ok {
			repeated = append(repeated, answer)
			continue
		}
		l.waiting.Push(key, rightDetails{excluded: d.Excluded, waitingSince: now}, d.Urgency, d.Until)
		l.arrivals = append(l.arrivals, arrival{key: key, waitingSince: now})
		a.waiting++
	}
	return l.markAndMerge(now, append(repeated, l.answerWaiting(now)...))
}

// Release takes back credits that a borrower no longer needs.
func (l *Lender) Release(now time.Time, borrower, endpoint string, count int) []credit.Credit {
	if e, ok := l.endpoints[endpoint]; ok {
		a := l.account(borrower)
		a.held -= e.release(borrower, count)
		a.fruitlessRecalls = 0
	}
	return l.grantWaiting(now)
}

// SetHolding replaces the number of credits that a borrower holds for an endpoint.
//
// A borrower reports it on each new connection, before its first demand on that connection.
func (l *Lender) SetHolding(now time.Time, borrower, endpoint string, count int) []credit.Credit {
	l.account(borrower).held += l.endpoint(endpoint).setHeld(borrower, max(count, 0))
	return l.grantWaiting(now)
}

// DropBorrower drops the demands of a lost borrower. Its credits count as in flight until the given time, or until the
// borrower reports what it has in flight.
func (l *Lender) DropBorrower(now time.Time, borrower string, until time.Time) []credit.Credit {
	delete(l.accounts, borrower)
	for _, key := range l.waiting.Keys() {
		if key.borrower == borrower {
			l.waiting.Remove(key)
		}
	}
	for _, e := range l.ordered {
		e.orphan(borrower, until)
	}
	l.sweep(now)
	return l.grantWaiting(now)
}

// Tick drops expired demands and orphaned credits, and grants the capacity that this or the passing of time has freed.
func (l *Lender) Tick(now time.Time) []credit.Credit {
	l.sweep(now)
	return l.grantWaiting(now)
}

// Recalls returns the borrowers whose idle credits are to be recalled, each at most once per recall interval.
//
// It returns at most one borrower for each waiting right. In addition it returns, at longer intervals, borrowers with
// credits of endpoints that are closed or lent above their hard limit.
func (l *Lender) Recalls(now time.Time) []string {
	l.expireWaiting(now)
	var borrowers []string
	if l.waiting.Len() > 0 {
		borrowers = l.scarcityRecalls(now)
	}
	if l.hasOverLent {
		borrowers = append(borrowers, l.overLentRecalls(now)...)
	}
	slices.Sort(borrowers)
	return slices.Compact(borrowers)
}

// scarcityRecalls returns up to one holder of credits for each waiting right. Holders that were notified within the
// recall interval are not returned again and reduce this number.
func (l *Lender) scarcityRecalls(now time.Time) []string {
	var holders []creditHolder
	needed := l.waiting.Len()
	for id, a := range l.accounts {
		switch {
		case a.held == 0 || !l.hasOtherWaiting(a):
		case a.wasNotifiedWithin(now, l.recallInterval):
			needed--
		case a.wasNotifiedWithin(now, a.recallDelay(l.recallInterval)):
		default:
			holders = append(holders, creditHolder{id: id, account: a})
		}
	}
	slices.SortFunc(holders, creditHolder.compare)
	var borrowers []string
	for _, h := range holders[:max(min(needed, len(holders)), 0)] {
		h.account.recordRecall(now)
		borrowers = append(borrowers, h.id)
	}
	return borrowers
}

// overLentRecalls returns the borrowers to recall because they hold credits of over-lent endpoints.
func (l *Lender) overLentRecalls(now time.Time) []string {
	var borrowers []string
	for _, e := range l.ordered {
		if !e.isOverLent() {
			continue
		}
		for id, lent := range e.loans {
			a := l.account(id)
			if lent.held > 0 && !a.wasNotifiedWithin(now, overLentRecallInterval) {
				a.recordRecall(now)
				borrowers = append(borrowers, id)
			}
		}
	}
	return borrowers
}

// Lent returns the number of credits lent and not returned.
func (l *Lender) Lent() int {
	lent := 0
	for _, e := range l.ordered {
		lent += e.lentTotal
	}
	return lent
}

// Waiting returns the number of demanded rights that wait for a grant.
func (l *Lender) Waiting() int {
	return l.waiting.Len()
}

// Snapshot returns the loans by endpoint and borrower.
func (l *Lender) Snapshot() []loan.Loan {
	rows := make([]loan.Loan, 0, len(l.ordered))
	for _, e := range l.ordered {
		rows = append(rows, e.loanRows()...)
	}
	return rows
}

// hasOtherWaiting reports whether rights of borrowers other than that of the account are waiting, so that credits are
// scarce for it.
func (l *Lender) hasOtherWaiting(a *account) bool {
	return l.waiting.Len() > a.waiting
}

// hasOverdue reports whether some right has waited for the over-limit wait or longer.
func (l *Lender) hasOverdue(now time.Time) bool {
	l.dropStaleArrivals()
	return len(l.arrivals) > 0 && now.Sub(l.arrivals[0].waitingSince) >= l.overLimitWait
}

// dropStaleArrivals drops the leading arrivals whose rights no longer wait, so that the first one left is the right
// that has waited longest.
func (l *Lender) dropStaleArrivals() {
	l.arrivals = l.arrivals[l.countStaleArrivals():]
}

func (l *Lender) countStaleArrivals() int {
	for i, a := range l.arrivals {
		if details, waits := l.waiting.Get(a.key); waits && details.waitingSince.Equal(a.waitingSince) {
			return i
		}
	}
	return len(l.arrivals)
}

func (l *Lender) isOverdue(now time.Time, details rightDetails) bool {
	return now.Sub(details.waitingSince) >= l.overLimitWait
}

func (l *Lender) endpoint(id string) *endpoint {
	e, ok := l.endpoints[id]
	if ok {
		return e
	}
	e = &endpoint{id: id, loans: make(map[string]*lentCredits)}
	l.endpoints[id] = e
	at, _ := slices.BinarySearchFunc(l.ordered, id, func(e *endpoint, id string) int { return cmp.Compare(e.id, id) })
	l.ordered = slices.Insert(l.ordered, at, e)
	return e
}

func (l *Lender) account(borrower string) *account {
	a, ok := l.accounts[borrower]
	if !ok {
		a = &account{answers: make(map[uint64]credit.Credit)}
		l.accounts[borrower] = a
	}
	return a
}

// sweep drops the orphaned credits that have expired and the endpoints that are unlisted and have no credits lent, and
// updates hasOverLent.
func (l *Lender) sweep(now time.Time) {
	l.hasOverLent = false
	l.ordered = slices.DeleteFunc(l.ordered, func(e *endpoint) bool {
		e.expireOrphans(now)
		if e.isRemovable() {
			delete(l.endpoints, e.id)
			return true
		}
		l.hasOverLent = l.hasOverLent || e.isOverLent()
		return false
	})
}

func (l *Lender) expireWaiting(now time.Time) {
	l.waiting.Expire(now, func(key rightKey, _ rightDetails) { l.account(key.borrower).waiting-- })
	l.dropStaleArrivals()
}
