package borrower

import "time"

const (
	defaultHold        = 20 * time.Millisecond
	defaultResend      = 250 * time.Millisecond
	defaultScarceFor   = 2 * time.Millisecond
	defaultMaxPatience = 20 * time.Millisecond
	defaultMaxTenure   = 20 * time.Millisecond
	// patienceShare is the part of the hold that a request waits for a credit of its own host.
	patienceShare = 10
	// deadlineShare is the most of its time that a request so waits.
	deadlineShare = 4
)

// Option changes a setting of a Borrower.
type Option func(*Borrower)

// WithHold sets how long an idle credit is kept; see SetHold.
func WithHold(d time.Duration) Option {
	return func(b *Borrower) { b.hold = d }
}

// WithMaxPatience bounds how long a request waits for a credit of its own host before the owner is asked.
func WithMaxPatience(d time.Duration) Option {
	return func(b *Borrower) { b.maxPatience = d }
}

// WithMaxTenure bounds how long a credit is used again and again while others wait, however long the hold is.
func WithMaxTenure(d time.Duration) Option {
	return func(b *Borrower) { b.maxTenure = d }
}

// WithResend sets after which time an unanswered demand is sent again; the time doubles with each sending.
func WithResend(d time.Duration) Option {
	return func(b *Borrower) { b.asked.resend = d }
}

// WithScarceFor sets how long credits count as scarce after the owner last said so.
func WithScarceFor(d time.Duration) Option {
	return func(b *Borrower) { b.scarceFor = d }
}
