package lender

import (
	"cmp"
	"time"

	"poplarhook.example/lib/credit"
)

// maxAnswers bounds how many answers are kept per borrower, to answer repeated demands in the same way.
const maxAnswers = 256

// maxRecallDoublings bounds how often the recall interval doubles while recalls have no effect.
const maxRecallDoublings = 3

// account is the state that the lender keeps for one borrower.
type account struct {
	// waiting counts the demanded rights that wait for a grant; held counts the credits that the borrower holds.
	waiting int
	held    int
	// scarcitySentAt is when the lender last notified the borrower that credits are scarce; it is zero if a later
	// credit was not marked scarce.
	scarcitySentAt time.Time
	// fruitlessRecalls counts the recalls since the borrower last returned credits or received a credit that was not
	// marked scarce.
	fruitlessRecalls int
	// answers holds the credits by the sequence number of the right that they answer.
	answers map[uint64]credit.Credit
	// answerOrder holds the sequence numbers of answers, the oldest answer first.
	answerOrder []uint64
	// droppedUpTo is the highest sequence number whose answer has been dropped.
	droppedUpTo uint64
}

// recordScarcity records the scarcity mark of a credit that is sent to the borrower.
func (a *account) recordScarcity(now time.Time, scarce bool) {
	if scarce {
		a.scarcitySentAt = now
		return
	}
	a.scarcitySentAt = time.Time{}
	a.fruitlessRecalls = 0
}

// recordRecall records that a recall of idle credits is sent to the borrower, which also notifies it of scarce credits.
// The recall counts as fruitless until the borrower returns credits or gets one that is not marked scarce.
func (a *account) recordRecall(now time.Time) {
	a.scarcitySentAt = now
	a.fruitlessRecalls++
}

// wasNotifiedWithin reports whether the borrower was notified of scarce credits less than the interval ago.
func (a *account) wasNotifiedWithin(now time.Time, interval time.Duration) bool {
	return now.Sub(a.scarcitySentAt) < interval
}

// recallDelay returns the minimum time between a recall and the next one. It doubles with each recall after which the
// borrower returned no credits.
func (a *account) recallDelay(interval time.Duration) time.Duration {
	return interval << min(max(a.fruitlessRecalls-1, 0), maxRecallDoublings)
}

// isAnswerDropped reports whether the answer to the right with the sequence number has been dropped: it is not kept,
// and its number is not above the highest of a dropped answer.
func (a *account) isAnswerDropped(sequence uint64) bool {
	_, remembered := a.answers[sequence]
	return !remembered && sequence <= a.droppedUpTo
}

func (a *account) rememberAnswer(c credit.Credit) {
	a.answers[c.Sequence] = c
	a.answerOrder = append(a.answerOrder, c.Sequence)
	if len(a.answerOrder) <= maxAnswers {
		return
	}
	oldest := a.answerOrder[0]
	a.answerOrder = a.answerOrder[1:]
	delete(a.answers, oldest)
	a.droppedUpTo = max(a.droppedUpTo, oldest)
}

// creditHolder is a borrower that may have idle credits, from which they may be recalled.
type creditHolder struct {
	id      string
	account *account
}

// compare orders holders by the number of credits that exceed their waiting rights, highest first, and then by the time
// of their last scarcity notice, oldest first.
func (h creditHolder) compare(other creditHolder) int {
	return cmp.Or(
		cmp.Compare(other.account.held-other.account.waiting, h.account.held-h.account.waiting),
		h.account.scarcitySentAt.Compare(other.account.scarcitySentAt),
		cmp.Compare(h.id, other.id),
	)
}
