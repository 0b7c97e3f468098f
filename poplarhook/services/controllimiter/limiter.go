package controllimiter

import (
	"context"
	"sync"
	"time"

	"poplarhook.example/lib/pacer"
	"poplarhook.example/lib/spending"
)

const (
	// adjustInterval is the time between two adjustments of the hold time of idle credits.
	adjustInterval = 100 * time.Millisecond
	// minHoldTime is the shortest hold time of an idle credit; it saves busy hosts from requesting a credit for each
	// request.
	minHoldTime = 5 * time.Millisecond
)

// Limiter applies one control budget to all links. It is safe for concurrent use.
type Limiter struct {
	clock       func() time.Time
	setHoldTime func(time.Duration)

	mu    sync.Mutex
	pacer *pacer.Pacer
}

// New returns a Limiter with a budget in bytes per second. It calls setHoldTime with the hold time of idle credits, at
// most maxHoldTime, whenever that changes.
func New(clock func() time.Time, budget int, maxHoldTime time.Duration, setHoldTime func(time.Duration)) *Limiter {
	return &Limiter{
		clock:       clock,
		setHoldTime: setHoldTime,
		pacer:       pacer.New(int64(budget), pacer.WithMinHoldTime(minHoldTime), pacer.WithMaxHoldTime(maxHoldTime)),
	}
}

// Allow reports whether a message of this size may be sent now, and if so takes its bytes from the budget.
func (l *Limiter) Allow(now time.Time, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.Allow(now, bytes)
}

// Charge takes bytes from the budget that are sent whether or not the budget allows it.
func (l *Limiter) Charge(now time.Time, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Charge(now, bytes)
}

// IsNearlySpent reports whether the budget left now is too small for a typical message.
func (l *Limiter) IsNearlySpent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.IsNearlySpent(now)
}

// Spending returns the totals of control traffic so far.
func (l *Limiter) Spending() spending.Spending {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.Spending()
}

// Run adjusts the hold time until the context ends; the channel then carries nil.
func (l *Limiter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l.adjustHoldTime(ctx)
		done <- nil
	}()
	return done
}

// adjustHoldTime passes the pacer's hold time to setHoldTime whenever it has changed, until the context ends.
func (l *Limiter) adjustHoldTime(ctx context.Context) {
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	current := time.Duration(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		holdTime := l.pacer.HoldTime(l.clock())
		l.mu.Unlock()
		if holdTime != current {
			current = holdTime
			l.setHoldTime(holdTime)
		}
	}
}
