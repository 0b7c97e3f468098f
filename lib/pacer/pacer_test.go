package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/pacer"
)

var start = time.Unix(1000, 0)

// drawMessages draws messages of up to 200 bytes, up to 20 ms apart.
func drawMessages(t *rapid.T, each func(at time.Time, bytes int)) {
	at := start
	for range rapid.IntRange(1, 300).Draw(t, "messages") {
		at = at.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "gap")))
		each(at, rapid.IntRange(1, 200).Draw(t, "bytes"))
	}
}

func TestAllowNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(100, 100_000).Draw(t, "budget")
		p := pacer.New(budget)
		now, spent := start, 0.0
		drawMessages(t, func(at time.Time, bytes int) {
			now = at
			wait := p.Wait(now, bytes)
			allowed := p.Allow(now, bytes)
			if allowed != (wait == 0) {
				t.Fatalf("Allow returned %v although the wait time is %v", allowed, wait)
			}
			if allowed {
				spent += float64(bytes)
			}
			if maxSpent := float64(budget) * (now.Sub(start).Seconds() + 0.5); spent > maxSpent+1e-6 {
				t.Fatalf("spent %v bytes, at most %v are allowed", spent, maxSpent)
			}
		})
	})
}

func TestChargesLeaveReserveAndCountOverspending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(512, 100_000).Draw(t, "budget")
		p := pacer.New(budget)
		now, spent := start, 0.0
		drawMessages(t, func(at time.Time, bytes int) {
			now = at
			wait := p.Wait(now, bytes)
			switch {
			case rapid.Bool().Draw(t, "charged"):
				p.Charge(now, bytes)
				spent += float64(bytes)
			case p.Allow(now, bytes) != (wait == 0):
				t.Fatalf("Allow does not agree with a wait time of %v", wait)
			case wait == 0:
				spent += float64(bytes)
			}
			maxSpent := float64(budget)*(now.Sub(start).Seconds()+1.5) + float64(p.Spending().OverspentBytes)
			if spent > maxSpent+1e-6 {
				t.Fatalf("spent %v bytes, at most %v are allowed", spent, maxSpent)
			}
		})
		p.Charge(now, 1<<20)
		if p.Spending().OverspentBytes == 0 {
			t.Fatal("no bytes counted as overspent")
		}
		wait := p.Wait(now, 30)
		if maxWait := 30 * 4 / float64(budget); wait.Seconds() > maxWait+1e-6 {
			t.Fatalf("30 bytes wait %v, at most %v s are allowed", wait, maxWait)
		}
		if wait > 0 && p.Allow(now.Add(wait-time.Microsecond), 30) || !p.Allow(now.Add(wait+time.Microsecond), 30) {
			t.Fatalf("30 bytes not allowed after %v", wait)
		}
	})
}

// meanShareSpent sends messages at a rate that falls as the hold time grows, and returns the mean share of the budget
// that was spent.
func meanShareSpent(p *pacer.Pacer, budget, wanted float64) float64 {
	const (
		step    = time.Millisecond
		message = 20
		warmUp  = 20 * time.Second
		span    = 60 * time.Second
	)
	owed, spent := 0.0, 0.0
	for d := time.Duration(0); d < span; d += step {
		now := start.Add(d)
		rate := wanted / (1 + p.HoldTime(now).Seconds()/0.02)
		for owed += rate * step.Seconds(); owed >= message; owed -= message {
			if p.Allow(now, message) && d >= warmUp {
				spent += message
			}
		}
	}
	return spent / (span - warmUp).Seconds() / budget
}

func TestHoldTimeBringsRateNearBudget(t *testing.T) {
	const budget = 5000
	for _, wanted := range []float64{8_000, 50_000, 500_000} {
		p := pacer.New(budget)
		share := meanShareSpent(p, budget, wanted)
		t.Logf("wanted %v B/s: share %.2f, %+v", wanted, share, p.Spending())
		qt.Assert(t, share > 0.65 && share < 1, qt.IsTrue, qt.Commentf("wanted %v: share %v", wanted, share))
		qt.Assert(t, p.ThrottledCount() > 0, qt.IsTrue)
		qt.Assert(t, p.Spending().IsLimited(), qt.IsTrue)
	}
	p := pacer.New(budget)
	meanShareSpent(p, budget, 1000)
	qt.Assert(t, p.HoldTime(start.Add(time.Hour)), qt.Equals, time.Duration(0))
	qt.Assert(t, p.ThrottledCount(), qt.Equals, uint64(0))

	p = pacer.New(budget, pacer.WithMinHoldTime(5*time.Millisecond))
	qt.Assert(t, p.HoldTime(start), qt.Equals, 5*time.Millisecond)
	meanShareSpent(p, budget, 1000)
	qt.Assert(t, p.HoldTime(start.Add(time.Hour)), qt.Equals, 5*time.Millisecond)
}

func TestHoldTimeIsBoundedAndCountedAsExhausted(t *testing.T) {
	p := pacer.New(100)
	meanShareSpent(p, 100, 10_000_000)
	qt.Assert(t, p.Spending().HoldTime, qt.Equals, 5*time.Second)
	qt.Assert(t, p.Spending().Exhausted > 0, qt.IsTrue)
}
