package lender

import "time"

// ColdValidity is how long after its grant a cold credit may be used, if no option says otherwise.
const ColdValidity = time.Second

const (
	defaultTrickle        = 50 * time.Millisecond
	defaultRecallInterval = 5 * time.Millisecond
	defaultPatience       = 4 * time.Millisecond
)

// Option changes a setting of a Lender.
type Option func(*Lender)

// WithColdValidity bounds how long after its grant a cold credit may be used.
func WithColdValidity(d time.Duration) Option {
	return func(l *Lender) { l.coldValidity = d }
}

// WithTrickle sets the least time between two requests that go to a cold endpoint only to warm it up.
func WithTrickle(d time.Duration) Option {
	return func(l *Lender) { l.trickle = d }
}

// WithPatience sets how long a right waits for an endpoint below its limit before it may go beyond that.
func WithPatience(d time.Duration) Option {
	return func(l *Lender) { l.patience = d }
}

// WithRecallInterval sets the least time between two recalls from one borrower.
func WithRecallInterval(d time.Duration) Option {
	return func(l *Lender) { l.recallInterval = d }
}
