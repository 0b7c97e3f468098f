package borrower

import (
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/demand"
)

// maxMergedSpread bounds the difference between the deadlines of consecutive rights that are merged into one demand.
const maxMergedSpread = 20 * time.Millisecond

// computeLocalWait returns how long a request with the given time left to its deadline waits for a credit that another
// request of this host frees, before it demands one from the owner.
func (b *Borrower) computeLocalWait(left time.Duration) time.Duration {
	return min(b.holdTime/holdTimeDivisor, b.maxLocalWait, left/remainingTimeDivisor)
}

// endLocalWaits counts the requests whose local wait is over as needing a right from the owner. If no request is in
// flight, no credit of this host can become free, so all local waits end.
func (b *Borrower) endLocalWaits(now time.Time) {
	if b.inFlightCount > 0 {
		b.localWaiting.Expire(now, func(id uint64, _ struct{}) { b.addNeeded(id) })
		return
	}
	for _, id := range b.localWaiting.Keys() {
		b.localWaiting.Remove(id)
		b.addNeeded(id)
	}
}

func (b *Borrower) addNeeded(id uint64) {
	if kind, ok := b.waiting.Get(id); ok {
		b.needed[kind]++
		b.queueUndemanded(id)
	}
}

// queueUndemanded adds a waiting request to the requests without a demand of their own if its local wait is over.
func (b *Borrower) queueUndemanded(id uint64) {
	if kind, ok := b.waiting.Get(id); ok && !b.localWaiting.Has(id) {
		b.undemanded.Push(id, kind, kind.urgency, b.waiting.Deadline(id))
	}
}

func (b *Borrower) removeNeeded(id uint64, kind rightKind) {
	if _, ok := b.localWaiting.Remove(id); ok {
		return
	}
	b.undemanded.Remove(id)
	b.needed[kind]--
	if b.needed[kind] == 0 {
		delete(b.needed, kind)
	}
}

// demandLackingRights demands as many rights as the waiting requests whose local wait is over lack.
//
// Requests without a demand of their own come first: the right that they relied on has since been answered or has
// expired.
func (b *Borrower) demandLackingRights(now time.Time, a *action.Action) {
	if !b.lacksRights() {
		return
	}
	var pending []demand.Demand
	var demanded []uint64
	demandFor := func(id uint64, kind rightKind, _ int) bool {
		if !b.localWaiting.Has(id) && b.countLackingRights(kind) > 0 {
			d := b.pending.add(now, kind, b.excludedEndpoint(kind), b.waiting.Deadline(id))
			pending = b.pending.appendMerged(pending, d, maxMergedSpread)
			demanded = append(demanded, id)
		}
		return !b.lacksRights()
	}
	b.undemanded.FirstAccepted(demandFor)
	if b.lacksRights() {
		b.waiting.FirstAccepted(demandFor)
	}
	for _, id := range demanded {
		b.undemanded.Remove(id)
	}
	a.Demands = append(a.Demands, pending...)
}

// countLackingRights returns how many more rights the requests of the given kind need than are pending for them.
//
// Pending rights of a higher urgency that requests of that urgency do not need count for lower urgencies too, unless
// the kind excludes an endpoint.
func (b *Borrower) countLackingRights(kind rightKind) int {
	if kind.excluded != "" {
		return b.needed[kind] - b.pending.countsByKind[kind]
	}
	lacking := 0
	for urgency := urgencyLevels - 1; urgency >= kind.urgency; urgency-- {
		level := rightKind{urgency: urgency}
		lacking = b.needed[level] - b.pending.countsByKind[level] + lacking
		if urgency > kind.urgency {
			lacking = min(lacking, 0)
		}
	}
	return lacking
}

// lacksRights reports whether, for some kind, waiting requests need more rights than are pending.
func (b *Borrower) lacksRights() bool {
	for kind := range b.needed {
		if b.countLackingRights(kind) > 0 {
			return true
		}
	}
	return false
}

// excludedEndpoint returns the endpoint that a demand excludes. If the request excludes none, it is the endpoint whose
// credit was last refused as not usable, so that the owner does not grant it again.
func (b *Borrower) excludedEndpoint(kind rightKind) string {
	if kind.excluded != "" {
		return kind.excluded
	}
	return b.refusedEndpoint
}
