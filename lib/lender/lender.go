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

// maxCount is the most rights that one demand may ask for.
const maxCount = 1024

// excessInterval is the least time between recalls of an endpoint that bears less than before.
const excessInterval = time.Second

// Lender lends the capacity of a group's endpoints to borrowers, as credits.
//
// What is lent of an endpoint never exceeds its limit by a grant, but for rights that have waited for long:
// credits on their way use up the limit while slots stand idle, so those may go up to the capacity's Most. A Lender is
// not safe for concurrent use.
type Lender struct {
	coldValidity   time.Duration
	trickle        time.Duration
	recallInterval time.Duration
	patience       time.Duration

	coldUntil time.Time
	// reserved is the only borrower that is granted anything, empty for all.
	reserved string
	// even says that those who have least are granted first.
	even      bool
	endpoints map[string]*endpoint
	// ordered holds the endpoints by id, so that one trace has one outcome.
	ordered  []*endpoint
	accounts map[string]*account
	waiting  *waitlist.Waitlist[right, wanted]
	// arrivals holds the rights in the order in which they came; some may wait no longer.
	arrivals []arrival
	grants   uint64
	// excess says that more is lent of some endpoint than it may bear now.
	excess bool
}

// right is one demanded right.
type right struct {
	borrower string
	sequence uint64
}

// wanted is what a right asks for.
type wanted struct {
	excluded string
	since    time.Time
}

// arrival is when a right began to wait.
type arrival struct {
	key   right
	since time.Time
}

// New returns a Lender that knows no endpoints and may not lend cold ones.
func New(options ...Option) *Lender {
	l := &Lender{
		coldValidity:   ColdValidity,
		trickle:        defaultTrickle,
		recallInterval: defaultRecallInterval,
		patience:       defaultPatience,
		endpoints:      make(map[string]*endpoint),
		accounts:       make(map[string]*account),
		waiting:        waitlist.New[right, wanted](),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetCapacities replaces what the endpoints may bear; one that is missing is closed.
func (l *Lender) SetCapacities(now time.Time, capacities []capacity.Capacity) []credit.Credit {
	for _, e := range l.ordered {
		e.unlist()
	}
	for _, c := range capacities {
		l.endpoint(c.Endpoint).setCapacity(now, c)
	}
	l.sweep(now)
	return l.grant(now)
}

// AllowCold permits grants of cold endpoints until the given time, as the owner's lease covers.
func (l *Lender) AllowCold(until time.Time) {
	l.coldUntil = until
}

// Reserve grants rights to one borrower only, or to all again when it is empty; the others' rights wait.
func (l *Lender) Reserve(borrower string) {
	l.reserved = borrower
}

// SetEven grants equally urgent rights to those first who have the fewest credits, not by their deadlines.
func (l *Lender) SetEven(even bool) {
	l.even = even
}

// Demand queues the rights that a borrower asks for; a right that was answered already gets the same answer again.
func (l *Lender) Demand(now time.Time, d demand.Demand) []credit.Credit {
	if d.IsExpired(now) {
		return l.grant(now)
	}
	a := l.account(d.Borrower)
	var repeated []credit.Credit
	for i := range uint64(min(max(d.Count, 0), maxCount)) {
		key := right{d.Borrower, d.Sequence + i}
		if l.waiting.Has(key) || a.isForgotten(key.sequence) {
			continue
		}
		if answer, ok := a.answers[key.sequence]; ok {
			repeated = append(repeated, answer)
			continue
		}
		l.waiting.Push(key, wanted{excluded: d.Excluded, since: now}, d.Urgency, d.Until)
		l.arrivals = append(l.arrivals, arrival{key: key, since: now})
		a.waiting++
	}
	return l.finish(now, append(repeated, l.answer(now)...))
}

// Release takes back credits that a borrower has finished with or does not use.
func (l *Lender) Release(now time.Time, borrower, endpoint string, count int) []credit.Credit {
	if e, ok := l.endpoints[endpoint]; ok {
		a := l.account(borrower)
		a.held -= e.release(borrower, count)
		a.recalls = 0
	}
	return l.grant(now)
}

// Hold sets what a borrower has of an endpoint, in place of what was known of it.
//
// A borrower says so on each new connection, before its first demand there.
func (l *Lender) Hold(now time.Time, borrower, endpoint string, count int) []credit.Credit {
	l.account(borrower).held += l.endpoint(endpoint).hold(borrower, max(count, 0))
	return l.grant(now)
}

// Forget drops the demands of a lost borrower; its credits count as in flight until the given time or a Hold.
func (l *Lender) Forget(now time.Time, borrower string, until time.Time) []credit.Credit {
	delete(l.accounts, borrower)
	for _, key := range l.waiting.All() {
		if key.borrower == borrower {
			l.waiting.Remove(key)
		}
	}
	for _, e := range l.ordered {
		e.orphan(borrower, until)
	}
	l.sweep(now)
	return l.grant(now)
}

// Tick drops what has expired and grants what has become free by the passing of time.
func (l *Lender) Tick(now time.Time) []credit.Credit {
	l.sweep(now)
	return l.grant(now)
}

// Recalls returns the borrowers to ask for their idle credits, each at most once per recall interval.
//
// One is asked for each right that waits, or for holding, less often, more than an endpoint may bear now.
func (l *Lender) Recalls(now time.Time) []string {
	l.expire(now)
	var borrowers []string
	if l.waiting.Len() > 0 {
		borrowers = l.scarceHolders(now)
	}
	if l.excess {
		borrowers = append(borrowers, l.excessHolders(now)...)
	}
	slices.Sort(borrowers)
	return slices.Compact(borrowers)
}

// scarceHolders returns as many holders as rights wait, less those that were told a moment ago.
func (l *Lender) scarceHolders(now time.Time) []string {
	var holders []holder
	needed := l.waiting.Len()
	for id, a := range l.accounts {
		switch {
		case a.held == 0 || !l.isScarceFor(a):
		case a.hasHeard(now, l.recallInterval):
			needed--
		case a.hasHeard(now, a.patience(l.recallInterval)):
		default:
			holders = append(holders, holder{id: id, account: a})
		}
	}
	slices.SortFunc(holders, holder.compare)
	var borrowers []string
	for _, h := range holders[:max(min(needed, len(holders)), 0)] {
		h.account.recall(now)
		borrowers = append(borrowers, h.id)
	}
	return borrowers
}

func (l *Lender) excessHolders(now time.Time) []string {
	var borrowers []string
	for _, e := range l.ordered {
		if !e.isOverLent() {
			continue
		}
		for id, n := range e.loans {
			a := l.account(id)
			if n.held > 0 && !a.hasHeard(now, excessInterval) {
				a.recall(now)
				borrowers = append(borrowers, id)
			}
		}
	}
	return borrowers
}

// Lent returns how many credits are out.
func (l *Lender) Lent() int {
	lent := 0
	for _, e := range l.ordered {
		lent += e.total
	}
	return lent
}

// Waiting returns how many demanded rights wait.
func (l *Lender) Waiting() int {
	return l.waiting.Len()
}

// Snapshot returns what is lent, by endpoint and borrower.
func (l *Lender) Snapshot() []loan.Loan {
	rows := make([]loan.Loan, 0, len(l.ordered))
	for _, e := range l.ordered {
		rows = append(rows, e.rows()...)
	}
	return rows
}

func (l *Lender) isScarceFor(a *account) bool {
	return l.waiting.Len() > a.waiting
}

// hasImpatient reports whether some right has waited for the patience or longer.
func (l *Lender) hasImpatient(now time.Time) bool {
	l.forgetArrivals()
	return len(l.arrivals) > 0 && now.Sub(l.arrivals[0].since) >= l.patience
}

// forgetArrivals drops the earliest rights that wait no longer, so that the first one left waits.
func (l *Lender) forgetArrivals() {
	l.arrivals = l.arrivals[l.passedArrivals():]
}

func (l *Lender) passedArrivals() int {
	for i, a := range l.arrivals {
		if asked, waits := l.waiting.Get(a.key); waits && asked.since.Equal(a.since) {
			return i
		}
	}
	return len(l.arrivals)
}

func (l *Lender) isImpatient(now time.Time, asked wanted) bool {
	return now.Sub(asked.since) >= l.patience
}

func (l *Lender) endpoint(id string) *endpoint {
	e, ok := l.endpoints[id]
	if ok {
		return e
	}
	e = &endpoint{id: id, loans: make(map[string]*lent)}
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

// sweep frees the orphaned credits whose time is over and drops endpoints of no further use.
func (l *Lender) sweep(now time.Time) {
	l.excess = false
	l.ordered = slices.DeleteFunc(l.ordered, func(e *endpoint) bool {
		e.freeOrphans(now)
		if e.isUseless() {
			delete(l.endpoints, e.id)
			return true
		}
		l.excess = l.excess || e.isOverLent()
		return false
	})
}

func (l *Lender) expire(now time.Time) {
	l.waiting.Expire(now, func(key right, _ wanted) { l.account(key.borrower).waiting-- })
	l.forgetArrivals()
}
