package pacer

import "time"

const (
	defaultBurst       = 500 * time.Millisecond
	defaultMaxHoldTime = 5 * time.Second
)

// Option changes a setting of a Pacer.
type Option func(*Pacer)

// reserveShare is the share of the budget that Charge cannot use, so that it remains for messages passed to Allow.
const reserveShare = 0.25

// typicalMessageBytes is the size of a typical message with its framing.
const typicalMessageBytes = 48

// maxDebtTime is the time whose budget Charge may use in advance; bytes beyond that count as overspent.
const maxDebtTime = time.Second

// WithBurst sets for how long unspent budget accumulates, which limits the size of a burst and of a message.
func WithBurst(d time.Duration) Option {
	return func(p *Pacer) { p.burst = float64(p.budget) * d.Seconds() }
}

// WithMaxHoldTime sets the longest hold time of idle credits.
func WithMaxHoldTime(d time.Duration) Option {
	return func(p *Pacer) { p.maxHoldTime = d }
}

// WithMinHoldTime sets the shortest hold time of idle credits, which is also the initial one.
func WithMinHoldTime(d time.Duration) Option {
	return func(p *Pacer) { p.minHoldTime = d }
}
