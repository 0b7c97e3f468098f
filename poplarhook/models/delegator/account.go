package delegator

import (
	"math"
	"slices"
	"time"

	"poplarhook.example/poplarhook/models/granter"
	"poplarhook.example/poplarhook/models/token"
)

const (
	// needTime is the time over which the demand for a workspace is averaged.
	needTime = time.Second
	// spareTime is the time for which tokens are held in reserve.
	spareTime = 100 * time.Millisecond
	// unknownRetry is the retry time of requests of a workspace that the pool host does not know yet: configurations reach
	// all hosts within about that time.
	unknownRetry = 200 * time.Millisecond
	// startingRetry is the time between two Asks for tokens that a starting pool host does not have.
	startingRetry = idleTick
)

// account holds the tokens and the waiting requests of one workspace on this host.
type account struct {
	quota token.Quota
	// declare is true if the pool host did not know the workspace, and declared once its quota was sent.
	declare, declared bool
	waiting           []*Ticket
	// asked is the number of tokens that were asked for and not answered yet, of which spareAsked are in reserve.
	asked, spareAsked int
	// askAgainAt is the time from which on tokens are asked for again after a pool host that starts had none.
	askAgainAt time.Duration
	// refusedShare is the average fraction of the Asks of which a token was refused.
	refusedShare float64
	stock        int
	stockUntil   time.Duration
	// back is the number of tokens to return.
	back int
	// heldUntil is the time until which requests are refused without asking, with retry times from retryAt on.
	heldUntil time.Duration
	retryAt   time.Duration
	// heldCount counts the requests refused without asking, so that their retry times differ.
	heldCount int
	// held is the number of such requests that the pool host does not know yet.
	held   int
	need   float64
	needAt time.Duration
}

// observe counts one request.
func (a *account) observe(now time.Duration) {
	a.need = a.need*math.Exp(-(now-a.needAt).Seconds()/needTime.Seconds()) + 1
	a.needAt = now
}

// answered records that an Ask for n tokens was answered.
func (a *account) answered(n int, refused bool) {
	a.asked = max(a.asked-n, 0)
	share := 0.0
	if refused {
		share = 1
	}
	a.refusedShare += refusalWeight * (share - a.refusedShare)
}

// unasked returns the number of waiting requests for which no token was asked yet.
func (a *account) unasked(now time.Duration) int {
	if now < a.askAgainAt {
		return 0
	}
	return max(len(a.waiting)-a.asked, 0)
}

// missingSpare returns how many tokens in reserve should be asked for.
func (a *account) missingSpare(now time.Duration) int {
	if a.need*spareTime.Seconds() < needTime.Seconds() || now < a.heldUntil {
		// Less than one request is expected.
		return 0
	}
	need := a.need * math.Exp(-(now-a.needAt).Seconds()/needTime.Seconds()) / needTime.Seconds()
	expected := int(need * spareTime.Seconds())
	if missing := expected - a.stock - a.spareAsked; 2*missing > expected {
		return missing
	}
	return 0
}

// isIdle reports whether an account that misses no reserve has nothing to do until its next request or answer.
func (a *account) isIdle(now time.Duration) bool {
	return len(a.waiting) == 0 && a.asked == 0 && a.spareAsked == 0 && a.stock == 0 && a.back == 0 && now >= a.heldUntil
}

// serve gives tokens in stock to waiting requests.
func (a *account) serve() {
	n := min(a.stock, len(a.waiting))
	for _, t := range a.waiting[:n] {
		t.decide(Granted, 0)
	}
	a.waiting = slices.Delete(a.waiting, 0, n)
	a.stock -= n
}

// addTokens adds tokens that were asked for at the given time. A token is held for at most SpareLife from then on, which
// ends before the pool host stops counting it as held.
func (a *account) addTokens(askedAt time.Duration, n int) {
	if n <= 0 {
		return
	}
	if until := askedAt + granter.SpareLife; a.stock == 0 || until < a.stockUntil {
		a.stockUntil = until
	}
	a.stock += n
	a.serve()
}

// expire marks tokens that were held for too long for return.
func (a *account) expire(now time.Duration) {
	if a.stock > 0 && now >= a.stockUntil {
		a.back += a.stock
		a.stock = 0
	}
}

// refuse refuses the first n waiting requests.
func (a *account) refuse(now time.Duration, n int, r token.Refusal) {
	if r.Unknown && !a.declared {
		// The requests go on waiting, and tokens are asked for again with the quota.
		a.declare = true
		return
	}
	if r.Starting {
		a.askAgainAt = now + startingRetry
		return
	}
	n = min(n, len(a.waiting))
	step := time.Duration(r.StepMS * float64(time.Millisecond))
	retry := time.Duration(r.RetryMS) * time.Millisecond
	for i, t := range a.waiting[:n] {
		if r.Unknown {
			t.decide(Unknown, unknownRetry)
			continue
		}
		t.decide(OverQuota, retry+time.Duration(i)*step)
	}
	a.waiting = slices.Delete(a.waiting, 0, n)
	if !r.Unknown {
		a.heldUntil = now + time.Duration(r.HoldMS)*time.Millisecond
		a.retryAt = now + retry + time.Duration(n)*step
	}
}

// goldenRatio distributes successive values evenly over an interval.
const goldenRatio = 0.6180339887

// heldRetry returns the retry time of a request that is refused without asking: within the time from the last known free
// capacity to twice as late, as other hosts refuse such requests too.
func (a *account) heldRetry(now time.Duration) time.Duration {
	a.heldCount++
	a.held++
	_, part := math.Modf(float64(a.heldCount) * goldenRatio)
	least := max(a.retryAt-now, time.Millisecond)
	return least + time.Duration(part*float64(max(least, spareTime)))
}
