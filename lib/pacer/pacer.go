package pacer

import (
	"math"
	"time"

	"poplarhook.example/lib/spending"
)

const (
	// adjustEvery is how often the hold is reconsidered.
	adjustEvery = 200 * time.Millisecond
	// memory is the time over which the rate is averaged.
	memory = 500 * time.Millisecond
	// highWater and lowWater are the shares of the budget between which the hold stays.
	highWater = 0.9
	lowWater  = 0.7
	// raise multiplies the hold over the high water mark.
	raise = 1.5
	// holdStep is added when the hold is raised, and taken off when it is lowered.
	holdStep = time.Millisecond
	// lower is the share of the hold that is taken off besides.
	lower = 0.05
)

// Pacer bounds control traffic to a budget and derives from its rate how long idle credits are kept.
//
// A Pacer is not safe for concurrent use.
type Pacer struct {
	budget  int64
	burst   float64
	minHold time.Duration
	maxHold time.Duration

	// tokens is what charges may use up; floor is kept for what is asked for. Both are in bytes.
	tokens     float64
	floor      float64
	filledAt   time.Time
	rate       float64
	rateAt     time.Time
	adjustedAt time.Time
	refused    bool
	spending   spending.Spending
}

// New returns a Pacer with a budget in bytes per second, of one at least.
func New(budget int64, options ...Option) *Pacer {
	budget = max(budget, 1)
	p := &Pacer{budget: budget, maxHold: defaultMaxHold, spending: spending.Spending{Budget: budget}}
	WithBurst(defaultBurst)(p)
	for _, option := range options {
		option(p)
	}
	p.floor = p.burst * floorShare
	p.tokens = p.burst - p.floor
	p.spending.Hold = p.minHold
	return p
}

// Allow spends bytes of the budget and reports whether the message may go out now.
//
// A message larger than the burst is never allowed.
func (p *Pacer) Allow(now time.Time, bytes int) bool {
	p.fill(now)
	p.measure(now, bytes)
	if float64(bytes) > p.left() {
		p.refused = true
		p.spending.RefusedMessages++
		p.spending.RefusedBytes += uint64(max(bytes, 0))
		return false
	}
	p.take(float64(bytes))
	p.spending.AllowedMessages++
	p.spending.AllowedBytes += uint64(max(bytes, 0))
	return true
}

// Charge spends bytes that go out in any case, at the cost of what is asked for but for a floor.
func (p *Pacer) Charge(now time.Time, bytes int) {
	p.fill(now)
	p.measure(now, bytes)
	p.spending.ChargedBytes += uint64(max(bytes, 0))
	p.tokens -= float64(bytes)
	if excess := -maxDebt.Seconds()*float64(p.budget) - p.tokens; excess > 0 {
		p.tokens += excess
		p.spending.OverspentBytes += uint64(math.Ceil(excess))
	}
}

// left returns how many bytes may be asked for now.
func (p *Pacer) left() float64 {
	return max(p.tokens, 0) + p.floor
}

// take spends of the tokens first, which charges would use up else.
func (p *Pacer) take(bytes float64) {
	first := min(bytes, max(p.tokens, 0))
	p.tokens -= first
	p.floor -= bytes - first
}

// IsShort reports whether hardly a message is left.
func (p *Pacer) IsShort(now time.Time) bool {
	p.fill(now)
	return p.left() < messageBytes
}

// Wait returns how long until the budget allows a message of the given size if no other is sent before.
func (p *Pacer) Wait(now time.Time, bytes int) time.Duration {
	p.fill(now)
	lacking := float64(bytes) - p.left()
	if lacking <= 0 {
		return 0
	}
	rate := float64(p.budget)
	if debt := max(-p.tokens, 0); debt > 0 {
		slow := min(lacking/floorShare, debt/(1-floorShare), (p.burst*floorShare-p.floor)/floorShare)
		lacking += slow * (1 - floorShare)
	}
	return time.Duration(math.Ceil(lacking / rate * float64(time.Second)))
}

// Hold returns how long idle credits are to be kept for the spending to approach the budget from below.
func (p *Pacer) Hold(now time.Time) time.Duration {
	if p.adjustedAt.IsZero() {
		p.adjustedAt = now
	}
	for !now.Before(p.adjustedAt.Add(adjustEvery)) {
		p.adjustedAt = p.adjustedAt.Add(adjustEvery)
		p.measure(p.adjustedAt, 0)
		p.adjust()
		if now.Sub(p.adjustedAt) > p.maxHold {
			p.adjustedAt = now
		}
	}
	return p.spending.Hold
}

// Coarse returns how often the budget kept control traffic from being as fine as wanted.
func (p *Pacer) Coarse() uint64 {
	return p.spending.RefusedMessages + p.spending.Coarsened
}

// Spending returns the counters since the start.
func (p *Pacer) Spending() spending.Spending {
	s := p.spending
	s.Rate = int64(p.rate)
	return s
}

func (p *Pacer) adjust() {
	switch share := p.rate / float64(p.budget); {
	case p.refused || share > highWater:
		p.raise()
	case share < lowWater:
		p.lower()
	}
	p.refused = false
}

func (p *Pacer) raise() {
	if p.spending.Hold >= p.maxHold {
		p.spending.Exhausted++
		return
	}
	raised := time.Duration(float64(p.spending.Hold)*raise) + holdStep
	p.spending.Hold = min(raised, p.maxHold)
	p.spending.Coarsened++
}

func (p *Pacer) lower() {
	lowered := time.Duration(float64(p.spending.Hold)*(1-lower)) - holdStep
	p.spending.Hold = max(lowered, p.minHold)
}

func (p *Pacer) fill(now time.Time) {
	if elapsed := now.Sub(p.filledAt); !p.filledAt.IsZero() && elapsed > 0 {
		earned := elapsed.Seconds() * float64(p.budget)
		kept := min(earned*floorShare, p.burst*floorShare-p.floor)
		p.floor += kept
		p.tokens = min(p.tokens+earned-kept, p.burst*(1-floorShare))
	}
	if now.After(p.filledAt) {
		p.filledAt = now
	}
}

// measure averages the rate, older bytes weighing less.
func (p *Pacer) measure(now time.Time, bytes int) {
	if elapsed := now.Sub(p.rateAt); !p.rateAt.IsZero() && elapsed > 0 {
		p.rate *= math.Exp(-elapsed.Seconds() / memory.Seconds())
	}
	if now.After(p.rateAt) {
		p.rateAt = now
	}
	p.rate += float64(bytes) / memory.Seconds()
}
