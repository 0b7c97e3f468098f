package borrower

import "time"

const (
	defaultHoldTime         = 20 * time.Millisecond
	defaultResendInterval   = 250 * time.Millisecond
	defaultScarcityDuration = 2 * time.Millisecond
	defaultMaxLocalWait     = 20 * time.Millisecond
	defaultMaxReuseTime     = 20 * time.Millisecond
	// holdTimeDivisor is the divisor of the hold time that gives the local wait of a request.
	holdTimeDivisor = 10
	// reuseTransferTimes is the factor by which the reuse time of a scarce credit is at least longer than its transfer.
	reuseTransferTimes = 4
	// remainingTimeDivisor bounds the local wait: it is at most the time left to the deadline, divided by this.
	remainingTimeDivisor = 4
)

// Option changes a setting of a Borrower.
type Option func(*Borrower)

// WithHoldTime sets how long an idle credit is kept; see Borrower.SetHoldTime.
func WithHoldTime(d time.Duration) Option {
	return func(b *Borrower) { b.holdTime = d }
}

// WithMaxLocalWait bounds how long a request waits for a credit that another request of its host frees, before it
// demands one from the owner.
func WithMaxLocalWait(d time.Duration) Option {
	return func(b *Borrower) { b.maxLocalWait = d }
}

// WithMaxReuseTime bounds how long a credit is used for one request after another while other borrowers wait,
// regardless of the hold time, unless credits take long to arrive.
func WithMaxReuseTime(d time.Duration) Option {
	return func(b *Borrower) { b.maxReuseTime = d }
}

// WithResendInterval sets the time after which an unanswered demand is sent again; it doubles each time.
func WithResendInterval(d time.Duration) Option {
	return func(b *Borrower) { b.pending.resendInterval = d }
}

// WithScarcityDuration sets how long credits count as scarce after the owner last reported it.
func WithScarcityDuration(d time.Duration) Option {
	return func(b *Borrower) { b.scarcityDuration = d }
}
