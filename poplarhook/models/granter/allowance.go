package granter

import (
	"math"
	"time"

	"poplarhook.example/poplarhook/models/token"
)

const (
	// LendParts is the number of parts in which a host lends its share of the start allowance, so that a pool host that
	// is replaced a moment after its start does not have all of it.
	LendParts = 4
	// LendLife is how long after the clock value that a host returned a part of the allowance may be spent.
	LendLife = 2 * time.Second
	// maxLendAge is the oldest clock value that lends a part.
	maxLendAge = 500 * time.Millisecond
	// startOverageFraction and startSlackFraction are the parts of the overage and the slack that the whole of one start
	// allowance may use. Two of them fit in one window beside the reserves (spareFraction of the overage, a quarter of
	// the slack) and the start tokens of two further changes of the pool host.
	startOverageFraction = 0.25
	startSlackFraction   = 0.2
	// startedFraction is the fraction of the shares from which on a pool host refuses requests as over the quota although
	// parts were lent less than LendLife ago.
	startedFraction = 0.5
)

// lend records a part of the start allowance. Parts that are lent while others are in force end with the first of them.
func (g *Granter) lend(now time.Duration, ask token.Ask) {
	at := time.Duration(ask.Lend) * time.Millisecond
	hosts := max(g.hosts, ask.Hosts)
	if hosts <= 0 || at > now || now-at > maxLendAge {
		return
	}
	if now >= g.lentUntil {
		g.lent, g.lentUntil = 0, now+LendLife-maxLendAge
		// All parts in force have clock values of at least now-maxLendAge, so none is spent later than LendLife after its own.
		for _, a := range g.accounts {
			a.lentUsed = 0
		}
	}
	g.lent = min(g.lent+1/float64(hosts*LendParts), 1)
	g.startingUntil = now + LendLife
}

// IsLent reports whether a part of the start allowance is in force.
func (g *Granter) IsLent(now time.Duration) bool {
	return now < g.lentUntil
}

// isStarting reports whether the pool has too few shares yet to refuse requests as over the quota.
func (g *Granter) isStarting(now time.Duration) bool {
	return g.fraction == 0 || now < g.startingUntil && g.fraction < startedFraction
}

// takeLent takes up to n tokens from the start allowance and returns how many.
func (g *Granter) takeLent(now time.Duration, a *account, n int) int {
	if !g.IsLent(now) {
		return 0
	}
	whole := startOverageFraction*g.limits.Overage*(a.rate*g.limits.Window.Seconds()+a.burst) + startSlackFraction*g.limits.Slack
	taken := min(n, int(math.Floor(max(whole*g.lent-a.lentUsed+tokenError, 0))))
	a.lentUsed += float64(taken)
	return taken
}
