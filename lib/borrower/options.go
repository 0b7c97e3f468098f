package borrower

import "time"

const (
	defaultHold      = 100 * time.Millisecond
	defaultResend    = 250 * time.Millisecond
	defaultScarceFor = 200 * time.Millisecond
)

// Option changes a setting of a Borrower.
type Option func(*Borrower)

// WithHold sets how long an idle credit is kept.
func WithHold(d time.Duration) Option {
	return func(b *Borrower) { b.hold = d }
}

// WithResend sets after which time an unanswered demand is sent again; the time doubles with each sending.
func WithResend(d time.Duration) Option {
	return func(b *Borrower) { b.asked.resend = d }
}

// WithScarceFor sets how long credits count as scarce after the owner last said so.
func WithScarceFor(d time.Duration) Option {
	return func(b *Borrower) { b.scarceFor = d }
}
