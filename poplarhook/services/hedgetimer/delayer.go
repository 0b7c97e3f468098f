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

// New returns a Delayer without recorded latencies.
func New() *Timer {
	return &Timer{hedgers: make(map[string]*hedger.Hedger)}
}

// Record adds the latency of a request of the class.
func (d *Timer) Record(now time.Time, class string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedgerFor(class).Observe(now, latency)
}

// Delay returns the time from now after which an unanswered request is hedged,
// at most half of the time left until its deadline.
func (d *Timer) Delay(now time.Time, j job.Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.hedgerFor(j.Class.Name).Delay(now), j.Deadline.Sub(now)/2)
}

func (d *Timer) hedgerFor(class string) *hedger.Hedger {
	h, known := d.hedgers[class]
	if !known {
		h = hedger.New()
		d.hedgers[class] = h
	}
	return h
}
