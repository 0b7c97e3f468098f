package lender

import (
	"cmp"
	"time"

	"poplarhook.example/lib/credit"
)

// maxAnswers is how many answered rights of a borrower are remembered for repeated demands.
const maxAnswers = 256

// maxDoublings bounds how rare recalls become that bring nothing.
const maxDoublings = 3

// account is what the lender knows of one borrower.
type account struct {
	waiting int
	held    int
	// toldAt is when the borrower last heard that credits are scarce, zero if it has heard since that they are not.
	toldAt time.Time
	// recalls counts the recalls since the borrower last gave credits back or got some that were not scarce.
	recalls int
	answers map[uint64]credit.Credit
	order   []uint64
	// floor is the highest right whose answer is no longer remembered.
	floor uint64
}

// hear notes that a credit tells the borrower whether credits are scarce.
func (a *account) hear(now time.Time, scarce bool) {
	if scarce {
		a.toldAt = now
		return
	}
	a.toldAt = time.Time{}
	a.recalls = 0
}

// recall notes that the borrower is asked for its idle credits.
func (a *account) recall(now time.Time) {
	a.toldAt = now
	a.recalls++
}

// hasHeard reports whether the borrower heard of scarcity within the interval.
func (a *account) hasHeard(now time.Time, interval time.Duration) bool {
	return now.Sub(a.toldAt) < interval
}

// patience returns how long after a recall the next is due; it doubles with each that brought nothing.
func (a *account) patience(interval time.Duration) time.Duration {
	return interval << min(max(a.recalls-1, 0), maxDoublings)
}

// isForgotten reports whether the right was answered too long ago to be remembered.
func (a *account) isForgotten(sequence uint64) bool {
	_, remembered := a.answers[sequence]
	return !remembered && sequence <= a.floor
}

func (a *account) remember(c credit.Credit) {
	a.answers[c.Sequence] = c
	a.order = append(a.order, c.Sequence)
	if len(a.order) <= maxAnswers {
		return
	}
	oldest := a.order[0]
	a.order = a.order[1:]
	delete(a.answers, oldest)
	a.floor = max(a.floor, oldest)
}

// holder is a borrower that may have idle credits.
type holder struct {
	id      string
	account *account
}

// compare puts first the one with most credits for what it waits for, then the one told longest ago.
func (h holder) compare(other holder) int {
	return cmp.Or(
		cmp.Compare(other.account.held-other.account.waiting, h.account.held-h.account.waiting),
		h.account.toldAt.Compare(other.account.toldAt),
		cmp.Compare(h.id, other.id),
	)
}
