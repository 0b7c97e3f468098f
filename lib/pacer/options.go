package pacer

import "time"

const (
	defaultBurst   = 500 * time.Millisecond
	defaultMaxHold = 5 * time.Second
)

// Option changes a setting of a Pacer.
type Option func(*Pacer)

// floorShare is the part of the budget that charges leave to the messages that are asked for.
const floorShare = 0.25

// messageBytes is what a common message takes with its framing.
const messageBytes = 48

// maxDebt is for how long charges may use up the budget ahead; what exceeds it is overspent.
const maxDebt = time.Second

// WithBurst sets for how long unspent budget is kept, which bounds both a burst and the largest message.
func WithBurst(d time.Duration) Option {
	return func(p *Pacer) { p.burst = float64(p.budget) * d.Seconds() }
}

// WithMaxHold sets the longest hold.
func WithMaxHold(d time.Duration) Option {
	return func(p *Pacer) { p.maxHold = d }
}

// WithMinHold sets the shortest hold, which is also the first.
func WithMinHold(d time.Duration) Option {
	return func(p *Pacer) { p.minHold = d }
}
