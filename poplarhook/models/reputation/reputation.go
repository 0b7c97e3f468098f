package reputation

import (
	"math"
	"time"
)

// halfLife is after which time a failure counts half: endpoints fail in spells of some seconds.
const halfLife = 3 * time.Second

// prior is the weight of the assumption that an endpoint is sound, in answers.
const prior = 2

// Reputation keeps decaying counts of successes and failures by endpoint; it is not safe for concurrent use.
type Reputation struct {
	records map[string]record
}

// record holds the counts as they were at one time.
type record struct {
	succeeded float64
	failed    float64
	at        time.Time
}

// New returns a Reputation that has seen nothing.
func New() *Reputation {
	return &Reputation{records: make(map[string]record)}
}

// Record counts the end of one request at the endpoint.
func (r *Reputation) Record(now time.Time, endpoint string, failed bool) {
	one := r.records[endpoint].decayed(now)
	if failed {
		one.failed++
	} else {
		one.succeeded++
	}
	r.records[endpoint] = one
}

// Failing returns the share of requests that the endpoint is expected to fail, from 0 to 1.
func (r *Reputation) Failing(now time.Time, endpoint string) float64 {
	one, known := r.records[endpoint]
	if !known {
		return 0
	}
	one = one.decayed(now)
	return one.failed / (one.failed + one.succeeded + prior)
}

// Retain forgets the endpoints that are not listed.
func (r *Reputation) Retain(listed func(endpoint string) bool) {
	for endpoint := range r.records {
		if !listed(endpoint) {
			delete(r.records, endpoint)
		}
	}
}

func (one record) decayed(now time.Time) record {
	factor := math.Exp2(-now.Sub(one.at).Seconds() / halfLife.Seconds())
	return record{succeeded: one.succeeded * factor, failed: one.failed * factor, at: now}
}
