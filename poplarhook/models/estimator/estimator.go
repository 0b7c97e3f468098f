package estimator

import (
	"time"

	"poplarhook.example/lib/averager"
)

// Estimator keeps the mean service time of each class: how long a request takes at an endpoint with a free slot and the
// usual speed.
//
// It is not safe for concurrent use.
type Estimator struct {
	serviceTimes *averager.Averager
}

// New returns an Estimator without recorded requests.
func New() *Estimator {
	return &Estimator{serviceTimes: averager.New()}
}

const (
	// priorDivisor gives the assumed service time of a class without recorded requests, as the target divided by it: in
	// the known deployments the service time is 0.3 to 0.4 of the target.
	priorDivisor = 3
	// highLoadShare is the share of busy slots above which an endpoint may slow down.
	highLoadShare = 0.8
	// highLoadFactor multiplies the service time above highLoadShare. It lies between no effect and the factor of two
	// that some endpoints show.
	highLoadFactor = 1.4
)

// State is the load that an endpoint reported, and what else is known of the endpoint.
type State struct {
	Running int
	Waiting int
	Slots   int
	// SlowFactor is the slow factor: the service time relative to the usual one, which is 1.
	SlowFactor float64
	// FailureRate is the share of requests that the endpoint is expected to fail.
	FailureRate float64
	// RoundTrip is the network round-trip time to the endpoint.
	RoundTrip time.Duration
	// Unhealthy is true when the endpoint reports itself unhealthy.
	Unhealthy bool
	Cold      bool
}

const (
	// unhealthyFactor and coldFactor multiply the service time of an endpoint that is unhealthy or cold.
	unhealthyFactor = 4
	coldFactor      = 2
	// maxFailureRate bounds the penalty of an endpoint that fails requests.
	maxFailureRate = 0.9
)

// Record adds the time that a request took at an endpoint that had a free slot. The time is divided by the endpoint's
// slow factor; without a factor above zero it is ignored.
func (e *Estimator) Record(class string, took time.Duration, slowFactor float64) {
	if slowFactor <= 0 {
		return
	}
	e.serviceTimes.Record(class, time.Duration(float64(took)/slowFactor))
}

// ServiceTime returns the mean service time of the class, or a third of the target if no request was recorded.
func (e *Estimator) ServiceTime(class string, target time.Duration) time.Duration {
	if known, seen := e.serviceTimes.Mean(class); seen {
		return known
	}
	return target / priorDivisor
}

// Knows reports whether a service time of the class was recorded.
func (e *Estimator) Knows(class string) bool {
	_, known := e.serviceTimes.Mean(class)
	return known
}

// Estimate returns the expected time until an endpoint in the given state answers a request of the given service time.
func Estimate(serviceTime time.Duration, s State) time.Duration {
	slots := max(s.Slots, 1)
	each := float64(serviceTime) * max(s.SlowFactor, minSlowFactor)
	if !IsBelowHighLoad(s.Running, slots) {
		each *= highLoadFactor
	}
	if s.Cold {
		each *= coldFactor
	}
	if s.Unhealthy {
		each *= unhealthyFactor
	}
	queued := max(s.Running+s.Waiting+1-slots, 0)
	total := each + each*float64(queued)/float64(slots)
	successRate := 1 - min(s.FailureRate, maxFailureRate)
	return s.RoundTrip + time.Duration(total/(successRate*successRate))
}

// IsBelowHighLoad reports whether an endpoint that processes the given number of requests can take another one without
// slowing down.
func IsBelowHighLoad(running, slots int) bool {
	return float64(running+1) <= highLoadShare*float64(max(slots, 1))
}

// minSlowFactor is a lower bound for reported slow factors: an endpoint that reports nearly zero would otherwise
// attract every request.
const minSlowFactor = 0.2
