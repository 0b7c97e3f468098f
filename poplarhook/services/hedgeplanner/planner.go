package hedgeplanner

import (
	"sync"
	"time"

	"poplarhook.example/lib/averager"
	"poplarhook.example/poplarhook/models/job"
)

// Planner plans hedges from the typical latency of each class. It is safe for concurrent use.
type Planner struct {
	mu      sync.Mutex
	typical *averager.Averager
}

// New returns a Planner without recorded latencies.
func New() *Planner {
	return &Planner{typical: averager.New(averager.WithOutlier(outlierFactor))}
}

const (
	// outlierFactor times the typical latency is the limit to which a higher latency of a single request is reduced
	// before it enters the average.
	outlierFactor = 2
	// priorDivisor divides the latency target to estimate the typical latency before any was recorded.
	priorDivisor = 3
	// slowFactor times the typical latency is the time after which a request counts as unusually slow.
	slowFactor = 1.3
	// largeSlowFactor is the same for classes with large answers. A hedge sends the answer twice, so it is worth its cost
	// only once the first attempt is probably lost.
	largeSlowFactor = 3
	// hedgeReserveFactor times the typical latency must be left for a hedge to meet the latency target.
	hedgeReserveFactor = 1.4
)

// Record adds the time that a request of the class took at the endpoint that answered it.
func (p *Planner) Record(_ time.Time, class string, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.typical.Record(class, latency)
}

// Delay returns the time from now after which an unanswered request is hedged,
// at most half of the time left until its deadline.
//
// The best time is the latest one at which a hedge would still meet the latency target, because
// the first attempt may be answered before. A request that is not yet unusually slow by then
// is hedged only once it is.
func (p *Planner) Delay(now time.Time, j job.Job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	typical, seen := p.typical.Mean(j.Class.Name)
	if !seen {
		typical = j.Class.LatencyTarget() / priorDivisor
	}
	factor := slowFactor
	if j.Class.LargeAnswers {
		factor = largeSlowFactor
	}
	slowAfter := time.Duration(factor * float64(typical))
	latest := j.ArrivedAt.Add(j.Class.LatencyTarget()).Sub(now) - time.Duration(hedgeReserveFactor*float64(typical))
	return min(max(slowAfter, latest), j.Deadline.Sub(now)/2)
}
