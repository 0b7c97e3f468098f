package probebudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/poplarhook/models/probebudget"
)

func TestProbesStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		b := probebudget.New()
		now := time.Unix(0, 0)
		start, granted := now, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			granted += b.Take(now, rate, rapid.IntRange(0, 12).Draw(t, "wanted"))
		}
		if limit := rate * (now.Sub(start).Seconds() + 2); float64(granted) > limit+1 {
			t.Fatalf("%d probes were allowed in %s at a rate of %.1f per second", granted, now.Sub(start), rate)
		}
	})
}
