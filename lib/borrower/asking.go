package borrower

import (
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/demand"
)

// mergeWithin is how far apart the deadlines of requests may be that one demand stands for.
const mergeWithin = 20 * time.Millisecond

// patience returns how long a request waits for a credit of its own host.
func (b *Borrower) patience(left time.Duration) time.Duration {
	return min(b.hold/patienceShare, b.maxPatience, left/deadlineShare)
}

// want notes the requests whose patience is over, which is so for all where no request in flight could free a credit.
func (b *Borrower) want(now time.Time) {
	if b.running > 0 {
		b.patient.Expire(now, func(id uint64, _ struct{}) { b.count(id) })
		return
	}
	for _, id := range b.patient.All() {
		b.patient.Remove(id)
		b.count(id)
	}
}

func (b *Borrower) count(id uint64) {
	if key, ok := b.waiting.Get(id); ok {
		b.wanted[key]++
		b.unask(id)
	}
}

// unask notes that a wanted request has no demand of its own.
func (b *Borrower) unask(id uint64) {
	if key, ok := b.waiting.Get(id); ok && !b.patient.Has(id) {
		b.unasked.Push(id, key, key.urgency, b.waiting.Until(id))
	}
}

func (b *Borrower) unwant(id uint64, key bucket) {
	if _, ok := b.patient.Remove(id); ok {
		return
	}
	b.unasked.Remove(id)
	b.wanted[key]--
	if b.wanted[key] == 0 {
		delete(b.wanted, key)
	}
}

// demandMissing asks for the rights that waiting requests lack.
//
// Those without a demand of their own come first: they counted on one that has been answered or has expired since.
func (b *Borrower) demandMissing(now time.Time, a *action.Action) {
	if !b.isMissing() {
		return
	}
	var pending []demand.Demand
	var asked []uint64
	ask := func(id uint64, key bucket, _ int) bool {
		if !b.patient.Has(id) && b.missing(key) > 0 {
			d := b.asked.ask(now, key, b.exclusion(key), b.waiting.Until(id))
			pending = b.asked.join(pending, d, mergeWithin)
			asked = append(asked, id)
		}
		return !b.isMissing()
	}
	b.unasked.Best(ask)
	if b.isMissing() {
		b.waiting.Best(ask)
	}
	for _, id := range asked {
		b.unasked.Remove(id)
	}
	a.Demands = append(a.Demands, pending...)
}

// missing returns how many rights the requests like the given one lack.
//
// A right of higher urgency stands in for a lower one, not where an endpoint is excluded.
func (b *Borrower) missing(key bucket) int {
	if key.excluded != "" {
		return b.wanted[key] - b.asked.counts[key]
	}
	lacking := 0
	for urgency := urgencies - 1; urgency >= key.urgency; urgency-- {
		level := bucket{urgency: urgency}
		lacking = b.wanted[level] - b.asked.counts[level] + lacking
		if urgency > key.urgency {
			lacking = min(lacking, 0)
		}
	}
	return lacking
}

func (b *Borrower) isMissing() bool {
	for key := range b.wanted {
		if b.missing(key) > 0 {
			return true
		}
	}
	return false
}

// exclusion keeps the owner from granting again what was just sent back.
func (b *Borrower) exclusion(key bucket) string {
	if key.excluded != "" {
		return key.excluded
	}
	return b.refused
}
