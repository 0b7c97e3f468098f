package delayer

import (
	"sync"
	"time"

	"poplarhook.example/lib/hedger"
	"poplarhook.example/poplarhook/models/job"
)

// Delayer keeps recent latencies by class, safe for concurrent use.
type Delayer struct {
	mu      sync.Mutex
	hedgers map[string]*hedger.Hedger
}

// New returns a Delayer that has seen no latency.
func New() *Delayer {
	return &Delayer{hedgers: make(map[string]*hedger.Hedger)}
}

// Record counts the latency of a class's request.
func (d *Delayer) Record(now time.Time, class string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedgerOf(class).Observe(now, latency)
}

// Delay returns after which time an unanswered request is sent a second time, at most half of what is left of its deadline.
func (d *Delayer) Delay(now time.Time, j job.Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.hedgerOf(j.Class.Name).Delay(now), j.Until.Sub(now)/2)
}

func (d *Delayer) hedgerOf(class string) *hedger.Hedger {
	h, known := d.hedgers[class]
	if !known {
		h = hedger.New()
		d.hedgers[class] = h
	}
	return h
}
