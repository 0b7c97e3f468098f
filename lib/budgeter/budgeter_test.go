package budgeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/budgeter"
)

var start = time.Unix(1000, 0)

func spendAll(b *budgeter.Budgeter, now time.Time) int {
	n := 0
	for b.Spend(now) {
		n++
	}
	return n
}

func TestSpendAllowsShareOfRecentAttempts(t *testing.T) {
	c := qt.New(t)
	b := budgeter.New(budgeter.WithShare(0.2), budgeter.WithMinimum(2), budgeter.WithWindow(time.Second))
	c.Assert(spendAll(b, start), qt.Equals, 2)
	for range 100 {
		b.Record(start)
	}
	c.Assert(spendAll(b, start), qt.Equals, 20)
	c.Assert(spendAll(b, start.Add(899*time.Millisecond)), qt.Equals, 0)
	c.Assert(spendAll(b, start.Add(1100*time.Millisecond)), qt.Equals, 2)
	c.Assert(spendAll(b, start.Add(time.Hour)), qt.Equals, 2)
}

func TestSpendNeverExceedsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budgeter.New(budgeter.WithShare(0.1), budgeter.WithMinimum(1), budgeter.WithWindow(time.Second))
		var recorded, spent []time.Time
		now := start
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "record") {
				b.Record(now)
				recorded = append(recorded, now)
			} else if b.Spend(now) {
				spent = append(spent, now)
			}
			// The budgeter drops whole tenths of a window, so an attempt counts for between 0.9 and 1 window. When the latest
			// further attempt of the last 0.9 windows was allowed, the others of that time still counted, and the first
			// attempts that counted were at most one window older. So the first attempts of the last two windows bound them.
			recentlySpent := countSince(spent, now.Add(-900*time.Millisecond))
			if maxSpent := 1 + 0.1*float64(countSince(recorded, now.Add(-2*time.Second))); float64(recentlySpent) > maxSpent {
				t.Fatalf("%d further attempts, at most %v are allowed", recentlySpent, maxSpent)
			}
		}
	})
}

func countSince(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}
