package coldlimiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/poplarhook/models/coldlimiter"
)

// TestHostsTogetherStayWithinColdRate lets as many hosts as the slack allows send to one cold endpoint as fast as their
// limiters permit, and checks that no second has more requests than the rate and the slack together.
func TestHostsTogetherStayWithinColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack := rapid.IntRange(1, 12).Draw(t, "slack")
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limiters := make([]*coldlimiter.Limiter, slack)
		for i := range limiters {
			limiters[i] = coldlimiter.New()
		}
		start := time.Unix(0, 0)
		var sent []time.Time
		for step := range 4000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			limiter := limiters[random.IntN(slack)]
			if limiter.Allows(now, "endpoint") {
				limiter.Record(now, "endpoint", rate, slack)
				sent = append(sent, now)
			}
		}
		for first, last := 0, 0; last < len(sent); last++ {
			for sent[last].Sub(sent[first]) >= time.Second {
				first++
			}
			if n := last - first + 1; float64(n) > rate+float64(slack) {
				t.Fatalf("%d requests in a second at a rate of %.1f with a slack of %d", n, rate, slack)
			}
		}
	})
}
