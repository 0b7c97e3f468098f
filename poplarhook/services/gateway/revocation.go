package gateway

import (
	"time"

	"go.uber.org/zap"

	"poplarhook.example/poplarhook/modules/bootclock"
	"poplarhook.example/poplarhook/services/supplier"
)

// Option changes how a Gateway is built.
type Option func(*Gateway)

// WithBootClock sets the source of the time since the machine was started.
func WithBootClock(clock func() time.Duration) Option {
	return func(g *Gateway) { g.bootClock = clock }
}

// defaultBootClock counts the time for which the machine was suspended too.
func defaultBootClock() time.Duration {
	return bootclock.Now()
}

// revocationOptions returns the further options of the supplier, none unless revocation is strict.
func (g *Gateway) revocationOptions() []supplier.Option {
	if g.freshness == nil {
		return nil
	}
	return []supplier.Option{supplier.WithStrictRevocation(g.freshness, g.bootClock, g.deployment.Load().Bounds.RevokeTimeout())}
}

// acceptsKeys reports whether the configuration was confirmed recently enough to accept keys, which is always so unless
// revocation is strict. It logs each change of the result.
func (g *Gateway) acceptsKeys() bool {
	if g.freshness == nil {
		return true
	}
	now := g.bootClock()
	isFresh := g.freshness.IsFresh(now)
	if g.wasFresh.Swap(isFresh) == isFresh {
		return isFresh
	}
	age, confirmed := g.freshness.Age(now)
	if isFresh {
		g.logger.Info("configuration is confirmed, keys are accepted", zap.Duration("age", age))
		return true
	}
	g.meter.Count("configuration_unconfirmed_too_long")
	g.logger.Warn("configuration was not confirmed for too long, keys are refused", zap.Duration("age", age), zap.Bool("confirmed_before", confirmed))
	return false
}

// checkKeys reports whether the key of a request may be accepted now, and counts refusals.
func (g *Gateway) checkKeys() bool {
	accepts := g.acceptsKeys()
	if !accepts {
		g.meter.Count("key_refused_unconfirmed")
	}
	return accepts
}

// isUsable reports whether requests with keys can be served, if the configuration has workspaces.
func (g *Gateway) isUsable() bool {
	s, _ := g.locator.Snapshot()
	return !s.HasWorkspaces || g.acceptsKeys()
}

// confirmationAge returns for the dump how long ago the configuration was last confirmed in milliseconds, -1 if it never
// was, and nil unless revocation is strict.
func (g *Gateway) confirmationAge() *int64 {
	if g.freshness == nil {
		return nil
	}
	ms := int64(-1)
	if age, confirmed := g.freshness.Age(g.bootClock()); confirmed {
		ms = age.Milliseconds()
	}
	return &ms
}
