package hedger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/hedger"
)

var start = time.Unix(1000, 0)

// observeLatencies records 2000 latencies, one per millisecond from the given time, of which every tenth is slow. It
// returns the time of the last one.
func observeLatencies(h *hedger.Hedger, from time.Time, fast, slow time.Duration) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		latency := fast/2 + time.Duration(random.Int64N(int64(fast)))
		if i%10 == 0 {
			latency = slow
		}
		from = from.Add(time.Millisecond)
		h.Observe(from, latency)
	}
	return from
}

func TestDelay(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		fast, slow time.Duration
		deadline   time.Duration
		want       time.Duration
	}{
		{"quantile", 4 * ms, 40 * ms, time.Second, 40 * ms},
		{"three medians", 4 * ms, 6 * ms, time.Second, 12670 * time.Microsecond},
		{"half of the deadline", 4 * ms, 40 * ms, 50 * ms, 25 * ms},
		{"longer than any bucket", 4 * ms, 10 * time.Minute, time.Hour, 95 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := hedger.New(hedger.WithDeadline(test.deadline))
			qt.Assert(t, h.Delay(start), qt.Equals, test.deadline/2)
			got := h.Delay(observeLatencies(h, start, test.fast, test.slow))
			ratio := float64(got) / float64(test.want)
			qt.Assert(t, ratio > 0.94 && ratio < 1.06, qt.IsTrue, qt.Commentf("got %v, want %v", got, test.want))
		})
	}
}

func TestOldLatenciesLoseWeight(t *testing.T) {
	h := hedger.New()
	now := observeLatencies(h, start, 4*time.Millisecond, 400*time.Millisecond)
	now = observeLatencies(h, now.Add(time.Hour), 4*time.Millisecond, 15*time.Millisecond)
	qt.Assert(t, h.Delay(now) < 20*time.Millisecond, qt.IsTrue, qt.Commentf("got %v", h.Delay(now)))
	now = now.Add(time.Minute)
	qt.Assert(t, h.Delay(now), qt.Equals, 500*time.Millisecond)
}

func BenchmarkHedger(b *testing.B) {
	h := hedger.New()
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		h.Observe(now, 4*time.Millisecond)
		h.Delay(now)
	}
}
