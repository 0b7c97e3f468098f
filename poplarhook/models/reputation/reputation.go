package reputation

import (
	"math"
	"time"
)

// halfLife is the time after which the weight of a failure has halved: endpoints fail for periods of some seconds.
const halfLife = 3 * time.Second

// priorWeight is the weight of the initial assumption that an endpoint does not fail, in successful answers.
const priorWeight = 2

// Reputation keeps decaying counts of successes and failures by endpoint. It is not safe for concurrent use.
type Reputation struct {
	records map[string]record
}

// record holds the counts, decayed to the time at.
type record struct {
	succeeded float64
	failed    float64
	decayedAt time.Time
}

// New returns a Reputation without recorded requests.
func New() *Reputation {
	return &Reputation{records: make(map[string]record)}
}

// Record counts one finished request at the endpoint as a success or a failure.
func (r *Reputation) Record(now time.Time, endpoint string, failed bool) {
	counts := r.records[endpoint].decayed(now)
	if failed {
		counts.failed++
	} else {
		counts.succeeded++
	}
	r.records[endpoint] = counts
}

// FailureRate returns the share of requests that the endpoint is expected to fail, from 0 to 1.
func (r *Reputation) FailureRate(now time.Time, endpoint string) float64 {
	counts, known := r.records[endpoint]
	if !known {
		return 0
	}
	counts = counts.decayed(now)
	return counts.failed / (counts.failed + counts.succeeded + priorWeight)
}

// Retain removes the endpoints for which listed returns false.
func (r *Reputation) Retain(listed func(endpoint string) bool) {
	for endpoint := range r.records {
		if !listed(endpoint) {
			delete(r.records, endpoint)
		}
	}
}

// decayed returns the counts decayed to the given time.
func (one record) decayed(now time.Time) record {
	factor := math.Exp2(-now.Sub(one.decayedAt).Seconds() / halfLife.Seconds())
	return record{succeeded: one.succeeded * factor, failed: one.failed * factor, decayedAt: now}
}
