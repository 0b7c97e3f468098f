package hedgetimer

import (
	"sync"
	"time"

	"poplarhook.example/lib/hedger"
	"poplarhook.example/poplarhook/models/job"
)

// Timer derives hedge delays from the recent latencies of each class. It is safe for concurrent use.
type Timer struct {
	mu      sync.Mutex
	hedgers map[string]*hedger.Hedger
}

// New returns a Timer without recorded latencies.
func New() *Timer {
	return &Timer{hedgers: make(map[string]*hedger.Hedger)}
}

// Record adds the latency of an answered request to the latencies of its class.
func (t *Timer) Record(now time.Time, class string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hedgerFor(class).Observe(now, latency)
}

// Delay returns the time from now after which an unanswered request is hedged,
// at most half of the time left until its deadline.
func (t *Timer) Delay(now time.Time, j job.Job) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(t.hedgerFor(j.Class.Name).Delay(now), j.Deadline.Sub(now)/2)
}

func (t *Timer) hedgerFor(class string) *hedger.Hedger {
	h, known := t.hedgers[class]
	if !known {
		h = hedger.New()
		t.hedgers[class] = h
	}
	return h
}
