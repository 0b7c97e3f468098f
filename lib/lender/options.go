package lender

import "time"

// ColdValidity is how long a cold credit may be used after its grant, if no option sets another value.
const ColdValidity = time.Second

const (
	defaultWarmUpInterval = 50 * time.Millisecond
	defaultRecallInterval = 5 * time.Millisecond
	defaultOverLimitWait  = 4 * time.Millisecond
)

// Option changes a setting of a Lender.
type Option func(*Lender)

// WithColdValidity bounds how long a cold credit may be used after its grant.
func WithColdValidity(d time.Duration) Option {
	return func(l *Lender) { l.coldValidity = d }
}

// WithWarmUpInterval sets the minimum time between two requests that are sent to a cold endpoint only to warm it up.
func WithWarmUpInterval(d time.Duration) Option {
	return func(l *Lender) { l.warmUpInterval = d }
}

// WithOverLimitWait sets how long a right waits for an endpoint below its limit before an endpoint may be granted up to
// its hard limit for it.
func WithOverLimitWait(d time.Duration) Option {
	return func(l *Lender) { l.overLimitWait = d }
}

// WithRecallInterval sets the minimum time between two recalls of idle credits from one borrower.
func WithRecallInterval(d time.Duration) Option {
	return func(l *Lender) { l.recallInterval = d }
}
