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

// Borrower binds the waiting requests of one entry host to the credits that the owner of a group lends it.
//
// A Borrower is not safe for concurrent use.
type Borrower struct {
	holdTime         time.Duration
	scarcityDuration time.Duration
	maxLocalWait     time.Duration
	maxReuseTime     time.Duration

	waiting *waitlist.Waitlist[uint64, rightKind]
	// localWaiting holds the waiting requests for which no demand may be sent to the owner yet.
	localWaiting *waitlist.Waitlist[uint64, struct{}]
	// needed counts, by kind, the rights that the waiting requests outside localWaiting need; undemanded holds those of
	// these requests that have no demand of their own.
	needed     map[rightKind]int
	undemanded *waitlist.Waitlist[uint64, rightKind]
	// pending holds the rights that are demanded and not answered with a credit.
	pending  pendingRights
	transfer transferMeter
	accounts map[string]*account
	// ordered holds the accounts sorted by endpoint, so that replaying a trace always has the same outcome.
	ordered       []*account
	idleCount     int
	inFlightCount int
	capacities    map[string]capacity.Capacity
	// scarceUntil is the time until which credits count as scarce, which the owner reports with a credit or a recall.
	scarceUntil time.Time
	// refusedEndpoint is the endpoint whose credit was last released because the endpoint was not usable. New demands
	// exclude it.
	refusedEndpoint string
}

// New returns a Borrower of the given name that has no credits.
func New(name string, options ...Option) *Borrower {
	b := &Borrower{
		holdTime:         defaultHoldTime,
		scarcityDuration: defaultScarcityDuration,
		maxLocalWait:     defaultMaxLocalWait,
		maxReuseTime:     defaultMaxReuseTime,
		waiting:          waitlist.New[uint64, rightKind](),
		localWaiting:     waitlist.New[uint64, struct{}](),
		needed:           make(map[rightKind]int),
		undemanded:       waitlist.New[uint64, rightKind](),
		pending:          newPendingRights(name),
		accounts:         make(map[string]*account),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Submit binds a request to an endpoint other than the excluded one, at once or as soon as a credit arrives.
func (b *Borrower) Submit(now time.Time, id uint64, until time.Time, urgency int, excluded string) action.Action {
	var a action.Action
	if !now.Before(until) {
		a.Expired = append(a.Expired, id)
		return a
	}
	b.removeWaiting(id)
	kind := rightKind{urgency: min(max(urgency, 0), urgencyLevels-1), excluded: excluded}
	b.waiting.Push(id, kind, kind.urgency, until)
	b.localWaiting.Push(id, struct{}{}, 0, now.Add(b.computeLocalWait(until.Sub(now))))
	b.afterEvent(now, &a)
	return a
}

// Cancel drops a waiting request; a request that is already bound must be ended with Finish.
func (b *Borrower) Cancel(now time.Time, id uint64) action.Action {
	var a action.Action
	b.removeWaiting(id)
	b.afterEvent(now, &a)
	return a
}

// Finish ends a bound request, whether it was answered or not. Its credit may be used for another request unless it is
// cold.
//
// The argument cold is also true for a warm binding if the answer showed that the endpoint has become cold.
func (b *Borrower) Finish(now time.Time, endpoint string, cold bool) action.Action {
	var a action.Action
	if acc, ok := b.accounts[endpoint]; ok {
		b.finishRequest(now, &a, acc, cold)
	}
	b.afterEvent(now, &a)
	return a
}

// Accept receives a credit from the owner, which also says whether credits are scarce. A credit that cannot be used is
// released at once, and a repeated one is ignored.
func (b *Borrower) Accept(now time.Time, c credit.Credit) action.Action {
	var a action.Action
	b.scarceUntil = time.Time{}
	if c.Scarce {
		b.scarceUntil = now.Add(b.scarcityDuration)
	}
	for i := range uint64(max(c.Count, 0)) {
		if r, ok := b.pending.remove(c.Sequence + i); ok {
			b.transfer.record(now, now.Sub(r.demandedAt))
			b.useGrantedRight(now, &a, c, r)
		}
	}
	b.afterEvent(now, &a)
	return a
}

// Recall releases the idle credits because other borrowers are waiting, and counts credits as scarce from now on for
// the scarcity duration.
func (b *Borrower) Recall(now time.Time) action.Action {
	var a action.Action
	b.scarceUntil = now.Add(b.scarcityDuration)
	b.afterEvent(now, &a)
	return a
}

// Tick applies the timeouts that have passed: it expires waiting requests, releases idle credits, ends local waits and
// repeats demands.
func (b *Borrower) Tick(now time.Time) action.Action {
	var a action.Action
	b.afterEvent(now, &a)
	return a
}

// SetHoldTime sets the hold time: how long an idle credit is kept. With zero, each request demands a credit from the
// owner.
//
// While other borrowers wait, a credit is not used again once it has been held for the shorter of the hold time and the
// maximum reuse time, or for a multiple of the time that a credit takes to arrive here if that is longer. If this host
// has requests in flight, a new request waits for one of their credits for a tenth of the hold time, at most for the
// maximum local wait, before it demands another credit from the owner.
func (b *Borrower) SetHoldTime(d time.Duration) {
	b.holdTime = d
}

// SetCapacities replaces the capacities of the endpoints that this host knows. Idle credits for endpoints that are now
// closed (they may get no requests), cold or missing are released.
func (b *Borrower) SetCapacities(now time.Time, capacities []capacity.Capacity) action.Action {
	var a action.Action
	b.capacities = make(map[string]capacity.Capacity, len(capacities))
	for _, c := range capacities {
		b.capacities[c.Endpoint] = c
	}
	b.refusedEndpoint = ""
	for _, acc := range b.ordered {
		if !b.isUsable(acc.id, false) {
			b.releaseIdle(&a, acc, now)
		}
	}
	b.dropUnused()
	b.afterEvent(now, &a)
	return a
}

// Reset prepares the borrower for a new owner or a new connection to the owner: idle credits are dropped, and rights
// for the waiting requests are demanded again.
//
// Requests in flight continue, and their credits are released as they end. Before that, the result of InFlight must be
// sent to the owner.
func (b *Borrower) Reset(now time.Time) action.Action {
	var a action.Action
	b.pending.reset()
	b.scarceUntil = time.Time{}
	b.refusedEndpoint = ""
	b.idleCount = 0
	for _, acc := range b.ordered {
		acc.carryOver()
	}
	for _, id := range b.waiting.Keys() {
		b.queueUndemanded(id)
	}
	b.afterEvent(now, &a)
	return a
}

// InFlight returns the number of requests in flight by endpoint.
func (b *Borrower) InFlight() []holding.Holding {
	var holdings []holding.Holding
	for _, acc := range b.ordered {
		if count := acc.countInFlight(); count > 0 {
			holdings = append(holdings, holding.Holding{Endpoint: acc.id, Count: count})
		}
	}
	return holdings
}

// Waiting returns the number of requests that wait for a credit.
func (b *Borrower) Waiting() int {
	return b.waiting.Len()
}

// Idle returns the number of credits that no request uses.
func (b *Borrower) Idle() int {
	return b.idleCount
}

func (b *Borrower) isCreditScarce(now time.Time) bool {
	return now.Before(b.scarceUntil)
}

// isUsable reports whether a credit for the endpoint may be used: the capacities that this host knows must list the
// endpoint as open, and as warm unless the credit is cold. Before any are known, every credit may be used.
func (b *Borrower) isUsable(endpoint string, cold bool) bool {
	if b.capacities == nil {
		return true
	}
	c := b.capacities[endpoint]
	return c.Open && (cold || !c.Cold)
}

// dropUnused drops the accounts without credits whose endpoints are not among the known capacities.
func (b *Borrower) dropUnused() {
	b.ordered = slices.DeleteFunc(b.ordered, func(acc *account) bool {
		_, known := b.capacities[acc.id]
		if known || !acc.isUnused() {
			return false
		}
		delete(b.accounts, acc.id)
		return true
	})
}

func (b *Borrower) account(endpoint string) *account {
	if acc, ok := b.accounts[endpoint]; ok {
		return acc
	}
	acc := &account{id: endpoint}
	b.accounts[endpoint] = acc
	at, _ := slices.BinarySearchFunc(b.ordered, endpoint, func(acc *account, id string) int { return cmp.Compare(acc.id, id) })
	b.ordered = slices.Insert(b.ordered, at, acc)
	return acc
}
