package granter

import (
	"math"
	"time"

	"poplarhook.example/poplarhook/models/token"
)

const (
	// maxStartTokens is the most tokens of each workspace that a pool gets with the whole of the shares; it is low because
	// the pool that had the shares before may have spent its tokens a moment ago.
	maxStartTokens = 3
	// minBurst is the least burst; the slack of the limits allows it.
	minBurst = 2
	// SpareLife is how long a host may hold a token for expected requests.
	SpareLife = 200 * time.Millisecond
	// spareFraction is the part of the overage that reserves may use.
	spareFraction = 0.5
	// retryHorizon bounds the retry times; a caller that waits longer would rather be refused again.
	retryHorizon = 30 * time.Second
	// returnFraction is the part of the rate that is offered to refused requests as they return. New requests usually need
	// five eighths of the rate.
	returnFraction = 0.35
	// minHold and maxHold bound the time for which a host refuses without asking while the workspace is overloaded. A
	// longer time would refuse requests for noticeably longer than the overload lasts.
	minHold = 10 * time.Millisecond
	maxHold = time.Second
	// wantedRefusals is the fraction of the tokens asked for that is refused in an overload: enough hosts ask then for
	// all tokens to be used, and the messages stay in proportion to the rate.
	wantedRefusals = 0.25
	// overloadTime is the time over which the fraction of refused requests is averaged, and holdSpeed how fast the time of
	// refusal without asking grows and falls, per second and per unit of the difference in refusals.
	overloadTime = time.Second
	holdSpeed    = 8.0
)

// account holds the tokens of one workspace.
type account struct {
	rate, burst float64
	tokens      float64
	settledAt   time.Duration
	// lentUsed is the number of tokens granted from the start allowance that is lent now.
	lentUsed float64
	// spare is a bound of the tokens that hosts hold in reserve.
	spare   float64
	spareAt time.Duration
	// returnAt is the time at which the last refused request was told to return.
	returnAt time.Duration
	// asked and refused are averages of the numbers of requests.
	asked, refused float64
	observedAt     time.Duration
	// hold is for how long hosts refuse without asking.
	hold time.Duration
}

// settle adds the tokens that have accrued at the fraction since the last call, up to the limit.
func (a *account) settle(now time.Duration, fraction, limit float64) {
	if now > a.settledAt {
		a.tokens += a.rate * fraction * (now - a.settledAt).Seconds()
		a.settledAt = now
	}
	a.tokens = min(a.tokens, limit)
}

// tokenError is the rounding error at which a sum of fractions still counts as a whole token.
const tokenError = 1e-9

// take takes up to n tokens and returns how many.
func (a *account) take(n int) int {
	taken := min(n, int(math.Floor(max(a.tokens+tokenError, 0))))
	a.tokens -= float64(taken)
	return taken
}

// giveBack returns unused tokens.
func (a *account) giveBack(n int, limit float64) {
	a.tokens = min(a.tokens+float64(max(n, 0)), limit)
	a.spare = max(a.spare-float64(max(n, 0)), 0)
}

// spareRoom returns how many more tokens hosts may hold in reserve. The reserve counts as used up evenly over its
// life, so half of the maximum bounds what is held at any time.
func (a *account) spareRoom(now time.Duration, maximum float64) int {
	a.spare = max(a.spare-maximum/2*(now-a.spareAt).Seconds()/SpareLife.Seconds(), 0)
	a.spareAt = now
	return int(maximum/2 - a.spare)
}

// observe averages the fraction of refused requests and adapts the time for which hosts refuse without asking.
func (a *account) observe(now time.Duration, asked, refused int) {
	elapsed := (now - a.observedAt).Seconds()
	keep := math.Exp(-elapsed / overloadTime.Seconds())
	a.observedAt = now
	a.asked = a.asked*keep + float64(asked)
	a.refused = a.refused*keep + float64(refused)
	if a.asked < minObserved {
		a.hold = minHold
		return
	}
	change := holdSpeed * (a.refused/a.asked - wantedRefusals) * min(elapsed, overloadTime.Seconds())
	a.hold = max(min(time.Duration(float64(a.hold)*math.Exp(change)), maxHold), minHold)
}

// schedule returns the refusal of n requests at a fraction above zero, whose times to return are those after the times of others refused before.
func (a *account) schedule(now time.Duration, fraction float64, n int) token.Refusal {
	rate := a.rate * fraction
	next := a.nextToken(now, rate)
	hold := min(next-now, minHold)
	if a.hold > minHold {
		hold = a.hold
	}
	step := returnStep(rate)
	first := a.postpone(now, fraction, n)
	return token.Refusal{RetryMS: ceilMilliseconds(first - now), StepMS: float64(step.Microseconds()) / 1000, HoldMS: hold.Milliseconds()}
}

// postpone reserves the next n times to return and returns the first of them.
func (a *account) postpone(now time.Duration, fraction float64, n int) time.Duration {
	rate := a.rate * fraction
	if rate <= 0 || n <= 0 {
		return now
	}
	next, step := a.nextToken(now, rate), returnStep(rate)
	first := max(a.returnAt+step, next)
	if first-now > max(retryHorizon, next-now+step) {
		// More requests were refused than can return within the horizon: its times are given again, between the others.
		first = next + step/2
	}
	a.returnAt = first + time.Duration(n-1)*step
	return first
}

// nextToken returns the time at which there is a whole token.
func (a *account) nextToken(now time.Duration, rate float64) time.Duration {
	return now + time.Duration(max(1-a.tokens, 0)/rate*float64(time.Second))
}

// returnStep returns the distance between the times at which refused requests return.
func returnStep(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / (rate * returnFraction))
}

// minObserved is the least average number of requests that shows an overload.
const minObserved = 5

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
