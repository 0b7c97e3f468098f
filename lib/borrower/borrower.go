package borrower

import (
	"cmp"
	"slices"
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/holding"
	"poplarhook.example/lib/waitlist"
)

// Borrower binds the waiting requests of one entry host to the credits that a group's owner lends it.
//
// A Borrower is not safe for concurrent use.
type Borrower struct {
	hold        time.Duration
	scarceFor   time.Duration
	maxPatience time.Duration
	maxTenure   time.Duration

	waiting *waitlist.Waitlist[uint64, bucket]
	// patient holds the waiting requests for which the owner is not to be asked yet.
	patient *waitlist.Waitlist[uint64, struct{}]
	// wanted counts the other waiting requests; unasked holds those without a demand of their own.
	wanted   map[bucket]int
	unasked  *waitlist.Waitlist[uint64, bucket]
	asked    ledger
	accounts map[string]*account
	// ordered holds the accounts by endpoint, so that one trace has one outcome.
	ordered     []*account
	idle        int
	running     int
	capacities  map[string]capacity.Capacity
	scarceUntil time.Time
	// refused is the endpoint whose credit was last sent back unused, which new demands exclude.
	refused string
}

// New returns a Borrower of the given name that has no credits.
func New(name string, options ...Option) *Borrower {
	b := &Borrower{
		hold:        defaultHold,
		scarceFor:   defaultScarceFor,
		maxPatience: defaultMaxPatience,
		maxTenure:   defaultMaxTenure,
		waiting:     waitlist.New[uint64, bucket](),
		patient:     waitlist.New[uint64, struct{}](),
		wanted:      make(map[bucket]int),
		unasked:     waitlist.New[uint64, bucket](),
		asked:       newLedger(name),
		accounts:    make(map[string]*account),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Ask binds a request to an endpoint other than the excluded one, at once or as soon as a credit comes.
func (b *Borrower) Ask(now time.Time, id uint64, until time.Time, urgency int, excluded string) action.Action {
	var a action.Action
	if !now.Before(until) {
		a.Expired = append(a.Expired, id)
		return a
	}
	b.unwait(id)
	key := bucket{urgency: min(max(urgency, 0), urgencies-1), excluded: excluded}
	b.waiting.Push(id, key, key.urgency, until)
	b.patient.Push(id, struct{}{}, 0, now.Add(b.patience(until.Sub(now))))
	b.settle(now, &a)
	return a
}

// Cancel drops a waiting request; one that is bound already has to be finished.
func (b *Borrower) Cancel(now time.Time, id uint64) action.Action {
	var a action.Action
	b.unwait(id)
	b.settle(now, &a)
	return a
}

// Finish ends a bound request, whether answered or not; its credit is used again unless it is cold.
//
// Cold is also given for a warm binding whose answer showed that the endpoint has turned cold.
func (b *Borrower) Finish(now time.Time, endpoint string, cold bool) action.Action {
	var a action.Action
	if n, ok := b.accounts[endpoint]; ok {
		b.finish(now, &a, n, cold)
	}
	b.settle(now, &a)
	return a
}

// Accept takes a credit; one that cannot be used goes back at once, a repeated one is ignored.
func (b *Borrower) Accept(now time.Time, c credit.Credit) action.Action {
	var a action.Action
	b.scarceUntil = time.Time{}
	if c.Scarce {
		b.scarceUntil = now.Add(b.scarceFor)
	}
	for i := range uint64(max(c.Count, 0)) {
		if r, ok := b.asked.take(c.Sequence + i); ok {
			b.receive(now, &a, c, r)
		}
	}
	b.settle(now, &a)
	return a
}

// Recall gives idle credits back because others wait.
func (b *Borrower) Recall(now time.Time) action.Action {
	var a action.Action
	b.scarceUntil = now.Add(b.scarceFor)
	b.settle(now, &a)
	return a
}

// Tick does what the passing of time calls for.
func (b *Borrower) Tick(now time.Time) action.Action {
	var a action.Action
	b.settle(now, &a)
	return a
}

// SetHold sets how long an idle credit is kept; zero asks the owner anew for each request.
//
// While others wait no credit is used for longer than that or the maximal tenure. A host with requests in flight
// waits for a tenth of it for one of their credits before it asks for another, at most for the maximal patience.
func (b *Borrower) SetHold(d time.Duration) {
	b.hold = d
}

// SetCapacities replaces what this host knows of the endpoints, so that credits granted on older knowledge go back unused.
func (b *Borrower) SetCapacities(now time.Time, capacities []capacity.Capacity) action.Action {
	var a action.Action
	b.capacities = make(map[string]capacity.Capacity, len(capacities))
	for _, c := range capacities {
		b.capacities[c.Endpoint] = c
	}
	b.refused = ""
	for _, n := range b.ordered {
		if !b.isUsable(n.id, false) {
			b.releaseIdle(&a, n, now)
		}
	}
	b.dropUseless()
	b.settle(now, &a)
	return a
}

// Reset starts anew with another owner or connection: idle credits are dropped, waiting requests are demanded again.
//
// What is in flight stays so and its credits go back as the requests end; InFlight tells it to the owner first.
func (b *Borrower) Reset(now time.Time) action.Action {
	var a action.Action
	b.asked.reset()
	b.scarceUntil = time.Time{}
	b.refused = ""
	b.idle = 0
	for _, n := range b.ordered {
		n.carry()
	}
	for _, id := range b.waiting.All() {
		b.unask(id)
	}
	b.settle(now, &a)
	return a
}

// InFlight returns how many requests are in flight, by endpoint.
func (b *Borrower) InFlight() []holding.Holding {
	var holdings []holding.Holding
	for _, n := range b.ordered {
		if count := n.inFlight(); count > 0 {
			holdings = append(holdings, holding.Holding{Endpoint: n.id, Count: count})
		}
	}
	return holdings
}

// Waiting returns how many requests wait for a credit.
func (b *Borrower) Waiting() int {
	return b.waiting.Len()
}

// Idle returns how many credits no request uses.
func (b *Borrower) Idle() int {
	return b.idle
}

func (b *Borrower) isScarce(now time.Time) bool {
	return now.Before(b.scarceUntil)
}

// isUsable reports whether a credit may be used for the endpoint, as far as this host knows it.
func (b *Borrower) isUsable(endpoint string, cold bool) bool {
	if b.capacities == nil {
		return true
	}
	c := b.capacities[endpoint]
	return c.Open && (cold || !c.Cold)
}

// dropUseless forgets endpoints that are gone.
func (b *Borrower) dropUseless() {
	b.ordered = slices.DeleteFunc(b.ordered, func(n *account) bool {
		_, known := b.capacities[n.id]
		if known || !n.isUseless() {
			return false
		}
		delete(b.accounts, n.id)
		return true
	})
}

func (b *Borrower) account(endpoint string) *account {
	if n, ok := b.accounts[endpoint]; ok {
		return n
	}
	n := &account{id: endpoint}
	b.accounts[endpoint] = n
	at, _ := slices.BinarySearchFunc(b.ordered, endpoint, func(n *account, id string) int { return cmp.Compare(n.id, id) })
	b.ordered = slices.Insert(b.ordered, at, n)
	return n
}
