package estimator

import (
	"time"

	"poplarhook.example/lib/averager"
)

// Estimator keeps how long the work of each class takes at an endpoint with a free slot and the usual speed.
//
// It is not safe for concurrent use.
type Estimator struct {
	work *averager.Averager
}

// New returns an Estimator that has seen no work.
func New() *Estimator {
	return &Estimator{work: averager.New()}
}

const (
	// priorDivisor is what the target of a class is divided by for its work before any was seen; in the known
	// deployments work takes 0.3 to 0.4 of the target.
	priorDivisor = 3
	// crowdedShare is the share of busy slots above which endpoints may slow down.
	crowdedShare = 0.8
	// crowded is how much longer work takes then, a guess between no effect and the factor of two that some show.
	crowded = 1.4
)

// State is what an endpoint said of itself, and what is known besides.
type State struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is 1 when work takes as long as usual.
	Slowness float64
	// Failing is the share of requests that the endpoint is expected to fail.
	Failing float64
	// Way is the time to the endpoint and back.
	Way time.Duration
	// Ill says that the endpoint calls itself unhealthy.
	Ill bool
	// Cold says that the endpoint is cold.
	Cold bool
}

const (
	// illPenalty and coldPenalty are how much longer work is taken to last at an endpoint that calls itself ill or cold.
	illPenalty  = 4
	coldPenalty = 2
	// maxFailing bounds the penalty of an endpoint that fails.
	maxFailing = 0.9
)

// Record takes in how long a request took that found a free slot.
func (e *Estimator) Record(class string, took time.Duration, slowness float64) {
	if slowness <= 0 {
		return
	}
	e.work.Record(class, time.Duration(float64(took)/slowness))
}

// Work returns how long a request of the class usually takes.
func (e *Estimator) Work(class string, target time.Duration) time.Duration {
	if known, seen := e.work.Mean(class); seen {
		return known
	}
	return target / priorDivisor
}

// Estimate returns how long until a request with the usual work is answered by an endpoint in the state.
func Estimate(work time.Duration, s State) time.Duration {
	slots := max(s.Slots, 1)
	each := float64(work) * max(s.Slowness, minSlowness)
	if float64(s.Running+1) > crowdedShare*float64(slots) {
		each *= crowded
	}
	if s.Cold {
		each *= coldPenalty
	}
	if s.Ill {
		each *= illPenalty
	}
	queued := max(s.Running+s.Waiting+1-slots, 0)
	total := each + each*float64(queued)/float64(slots)
	sound := 1 - min(s.Failing, maxFailing)
	return s.Way + time.Duration(total/(sound*sound))
}

// minSlowness keeps a report of no time at all from drawing every request.
const minSlowness = 0.2
