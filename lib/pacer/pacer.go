package pacer

import (
	"math"
	"time"

	"poplarhook.example/lib/spending"
)

const (
	// adjustInterval is the time between two adjustments of the hold time.
	adjustInterval = 200 * time.Millisecond
	// rateTimeConstant is the time constant of the average rate of control traffic.
	rateTimeConstant = 500 * time.Millisecond
	// highWater and lowWater are shares of the budget. While the rate of control traffic is between them and no message
	// is refused, the hold time does not change.
	highWater = 0.9
	lowWater  = 0.7
	// raiseFactor multiplies the hold time if the rate of control traffic is above highWater, or if a message was refused
	// since the last adjustment.
	raiseFactor = 1.5
	// holdTimeStep is added to the hold time when it is raised, and subtracted when it is lowered.
	holdTimeStep = time.Millisecond
	// lowerShare is the share of the hold time that is subtracted in addition to holdTimeStep when it is lowered.
	lowerShare = 0.05
)

// Pacer limits control traffic to a budget and derives from its rate the hold time, for which idle credits are kept.
//
// A Pacer is not safe for concurrent use.
type Pacer struct {
	budget      int64
	burst       float64
	minHoldTime time.Duration
	maxHoldTime time.Duration

	// tokens is the part of the budget that Charge and Allow can use; it is negative if Charge used budget in advance.
	// reserve is the part that only Allow can use. Both are in bytes.
	tokens             float64
	reserve            float64
	refilledAt         time.Time
	rate               float64
	rateUpdatedAt      time.Time
	adjustedAt         time.Time
	refusedSinceAdjust bool
	spending           spending.Spending
}

// New returns a Pacer with a budget in bytes per second, which is raised to 1 if it is lower.
func New(budget int64, options ...Option) *Pacer {
	budget = max(budget, 1)
	p := &Pacer{budget: budget, maxHoldTime: defaultMaxHoldTime, spending: spending.Spending{Budget: budget}}
	WithBurst(defaultBurst)(p)
	for _, option := range options {
		option(p)
	}
	p.reserve = p.burst * reserveShare
	p.tokens = p.burst - p.reserve
	p.spending.HoldTime = p.minHoldTime
	return p
}

// Allow reports whether a message of the given size may be sent now, and takes it from the budget if so.
//
// A message larger than the burst is never allowed.
func (p *Pacer) Allow(now time.Time, bytes int) bool {
	p.refillTokens(now)
	p.updateRate(now, bytes)
	if float64(bytes) > p.availableBytes() {
		p.refusedSinceAdjust = true
		p.spending.RefusedMessages++
		p.spending.RefusedBytes += uint64(max(bytes, 0))
		return false
	}
	p.spendBytes(float64(bytes))
	p.spending.AllowedMessages++
	p.spending.AllowedBytes += uint64(max(bytes, 0))
	return true
}

// Charge takes bytes that are sent unconditionally from the budget. They reduce what Allow can permit, except for the
// reserve.
func (p *Pacer) Charge(now time.Time, bytes int) {
	p.refillTokens(now)
	p.updateRate(now, bytes)
	p.spending.ChargedBytes += uint64(max(bytes, 0))
	p.tokens -= float64(bytes)
	if excess := -maxDebtTime.Seconds()*float64(p.budget) - p.tokens; excess > 0 {
		p.tokens += excess
		p.spending.OverspentBytes += uint64(math.Ceil(excess))
	}
}

// availableBytes returns how many bytes Allow permits now.
func (p *Pacer) availableBytes() float64 {
	return max(p.tokens, 0) + p.reserve
}

// spendBytes takes bytes from the tokens first, which later charges could use up, and the rest from the reserve.
func (p *Pacer) spendBytes(bytes float64) {
	fromTokens := min(bytes, max(p.tokens, 0))
	p.tokens -= fromTokens
	p.reserve -= bytes - fromTokens
}

// IsNearlySpent reports whether the budget is too low now for a typical message.
func (p *Pacer) IsNearlySpent(now time.Time) bool {
	p.refillTokens(now)
	return p.availableBytes() < typicalMessageBytes
}

// Wait returns the time until Allow permits a message of the given size if no other message is sent before.
func (p *Pacer) Wait(now time.Time, bytes int) time.Duration {
	p.refillTokens(now)
	missing := float64(bytes) - p.availableBytes()
	if missing <= 0 {
		return 0
	}
	rate := float64(p.budget)
	if debt := max(-p.tokens, 0); debt > 0 {
		// Until the debt is paid off, Allow gets only the reserve's share of the budget.
		earnedInDebt := min(missing/reserveShare, debt/(1-reserveShare), (p.burst*reserveShare-p.reserve)/reserveShare)
		missing += earnedInDebt * (1 - reserveShare)
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

// HoldTime returns the hold time for idle credits, adjusted so that the rate approaches the budget from below.
func (p *Pacer) HoldTime(now time.Time) time.Duration {
	if p.adjustedAt.IsZero() {
		p.adjustedAt = now
	}
	for !now.Before(p.adjustedAt.Add(adjustInterval)) {
		p.adjustedAt = p.adjustedAt.Add(adjustInterval)
		p.updateRate(p.adjustedAt, 0)
		p.adjustHoldTime()
		if now.Sub(p.adjustedAt) > p.maxHoldTime {
			p.adjustedAt = now
		}
	}
	return p.spending.HoldTime
}

// ThrottledCount returns how often the budget refused a message or raised the hold time.
func (p *Pacer) ThrottledCount() uint64 {
	return p.spending.RefusedMessages + p.spending.HoldTimeRaises
}

// Spending returns the current rate and hold time and the counters since the start.
func (p *Pacer) Spending() spending.Spending {
	s := p.spending
	s.Rate = int64(p.rate)
	return s
}

func (p *Pacer) adjustHoldTime() {
	switch share := p.rate / float64(p.budget); {
	case p.refusedSinceAdjust || share > highWater:
		p.raiseHoldTime()
	case share < lowWater:
		p.lowerHoldTime()
	}
	p.refusedSinceAdjust = false
}

func (p *Pacer) raiseHoldTime() {
	if p.spending.HoldTime >= p.maxHoldTime {
		p.spending.Exhausted++
		return
	}
	raised := time.Duration(float64(p.spending.HoldTime)*raiseFactor) + holdTimeStep
	p.spending.HoldTime = min(raised, p.maxHoldTime)
	p.spending.HoldTimeRaises++
}

func (p *Pacer) lowerHoldTime() {
	lowered := time.Duration(float64(p.spending.HoldTime)*(1-lowerShare)) - holdTimeStep
	p.spending.HoldTime = max(lowered, p.minHoldTime)
}

func (p *Pacer) refillTokens(now time.Time) {
	if elapsed := now.Sub(p.refilledAt); !p.refilledAt.IsZero() && elapsed > 0 {
		earned := elapsed.Seconds() * float64(p.budget)
		reserved := min(earned*reserveShare, p.burst*reserveShare-p.reserve)
		p.reserve += reserved
		p.tokens = min(p.tokens+earned-reserved, p.burst*(1-reserveShare))
	}
	if now.After(p.refilledAt) {
		p.refilledAt = now
	}
}

// updateRate adds bytes to the average rate, in which older bytes have less weight.
func (p *Pacer) updateRate(now time.Time, bytes int) {
	if elapsed := now.Sub(p.rateUpdatedAt); !p.rateUpdatedAt.IsZero() && elapsed > 0 {
		p.rate *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	}
	if now.After(p.rateUpdatedAt) {
		p.rateUpdatedAt = now
	}
	p.rate += float64(bytes) / rateTimeConstant.Seconds()
}
