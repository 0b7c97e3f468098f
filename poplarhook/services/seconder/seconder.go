package seconder

import (
	"sync"
	"time"

	"poplarhook.example/lib/averager"
	"poplarhook.example/poplarhook/models/job"
)

// Seconder keeps how long requests of each class typically take, safe for concurrent use.
type Seconder struct {
	mu      sync.Mutex
	typical *averager.Averager
}

// New returns a Seconder that has seen no request.
func New() *Seconder {
	return &Seconder{typical: averager.New(averager.WithOutlier(outlier))}
}

const (
	// outlier is how many times the typical latency one request counts for at most.
	outlier = 2
	// priorDivisor is what the target is divided by for the typical latency before any was seen.
	priorDivisor = 3
	// patience is how many times the typical latency a request may take before it counts as unlucky.
	patience = 1.3
	// reserve is how many times the typical latency must be left for a second try to meet the target.
	reserve = 1.4
)

// Record takes in how long a request of the class took at the endpoint that answered it.
func (s *Seconder) Record(_ time.Time, class string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.typical.Record(class, latency)
}

// Delay returns after which time an unanswered request is sent a second time, at most half of what is left of its deadline.
//
// The latest time at which a second try would still meet the target is best:
// before it the first one may yet be answered. A request that is not unlucky
// yet by then waits until it is.
func (s *Seconder) Delay(now time.Time, j job.Job) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	typical, seen := s.typical.Mean(j.Class.Name)
	if !seen {
		typical = j.Class.LatencyTarget() / priorDivisor
	}
	unlucky := time.Duration(patience * float64(typical))
	latest := j.Arrived.Add(j.Class.LatencyTarget()).Sub(now) - time.Duration(reserve*float64(typical))
	return min(max(unlucky, latest), j.Until.Sub(now)/2)
}
