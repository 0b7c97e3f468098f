package governor

import (
	"context"
	"sync"
	"time"

	"poplarhook.example/lib/pacer"
	"poplarhook.example/lib/spending"
)

const (
	adjustEvery = 100 * time.Millisecond
	// minHold is how long an idle credit is kept at least, so that busy hosts need not ask for each request.
	minHold = 5 * time.Millisecond
)

// Governor shares one control budget among all links, safe for concurrent use.
type Governor struct {
	clock   func() time.Time
	setHold func(time.Duration)

	mu    sync.Mutex
	pacer *pacer.Pacer
}

// New returns a Governor of a budget in bytes per second that sets how long idle credits are held.
func New(clock func() time.Time, budget int, maxHold time.Duration, setHold func(time.Duration)) *Governor {
	return &Governor{
		clock:   clock,
		setHold: setHold,
		pacer:   pacer.New(int64(budget), pacer.WithMinHold(minHold), pacer.WithMaxHold(maxHold)),
	}
}

// Allow spends bytes of the budget and reports whether the message may go out.
func (g *Governor) Allow(now time.Time, bytes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pacer.Allow(now, bytes)
}

// Charge spends bytes of the budget that go out in any case.
func (g *Governor) Charge(now time.Time, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pacer.Charge(now, bytes)
}

// IsShort reports whether the budget hardly leaves a message now.
func (g *Governor) IsShort(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pacer.IsShort(now)
}

// Spending returns what control traffic has cost so far.
func (g *Governor) Spending() spending.Spending {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pacer.Spending()
}

// Run adjusts the hold until the context ends; the channel gives the end.
func (g *Governor) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		g.adjust(ctx)
		done <- nil
	}()
	return done
}

func (g *Governor) adjust(ctx context.Context) {
	ticker := time.NewTicker(adjustEvery)
	defer ticker.Stop()
	held := time.Duration(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		hold := g.pacer.Hold(g.clock())
		g.mu.Unlock()
		if hold != held {
			held = hold
			g.setHold(hold)
		}
	}
}
