package scenario

import "time"

// Values of the field arrivals of a scenario.
const (
	Poisson  = "poisson"
	Constant = "constant"
)

// Scenario describes the load of a run.
type Scenario struct {
	// DurationMS is the duration of the load in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// Seed determines the random arrivals, mix entries, request ids and targets.
	Seed uint64 `json:"seed"`
	// RatePerS is the mean number of arrivals per second.
	RatePerS float64 `json:"rate_per_s"`
	// Arrivals is the distribution of arrivals: poisson (the default) or constant.
	Arrivals string `json:"arrivals,omitempty"`
	// Mix holds the kinds of request, which are drawn at random by weight.
	Mix []Entry `json:"mix"`
}

// Entry is one kind of request in the mix.
type Entry struct {
	Name   string `json:"name"`
	Weight int64  `json:"weight"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Host is the value of the Host header. If empty, the header holds the target's address.
	Host string `json:"host,omitempty"`
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// AnswerBytes is the minimum size of the answer in bytes, which the request asks the endpoint for.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// OnceOnly is true if a request must not be executed more than once.
	OnceOnly bool `json:"once_only,omitempty"`
	// IdempotencyKey is true if each request is sent with a unique idempotency key.
	IdempotencyKey bool `json:"idempotency_key,omitempty"`
	// DeadlineMS is the deadline in milliseconds that is sent with the request. No deadline is sent if it is zero.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Marker is text that is sent in a header, so that tests can search for it in places that it must not reach.
	Marker string `json:"marker,omitempty"`
	// HomeRegions are the only regions that may execute the request. If empty, all regions may.
	HomeRegions []string `json:"home_regions,omitempty"`
}

// Duration returns the duration of the load.
func (s Scenario) Duration() time.Duration {
	return time.Duration(s.DurationMS) * time.Millisecond
}

// WithSeed returns a copy with another seed.
func (s Scenario) WithSeed(seed uint64) Scenario {
	s.Seed = seed
	return s
}

// WithRate returns a copy with another rate, in arrivals per second.
func (s Scenario) WithRate(rate float64) Scenario {
	s.RatePerS = rate
	return s
}

// WithDuration returns a copy with another duration, truncated to milliseconds.
func (s Scenario) WithDuration(duration time.Duration) Scenario {
	s.DurationMS = duration.Milliseconds()
	return s
}

// Deadline returns the time within which the caller wants an answer, or zero if there is no limit.
func (e Entry) Deadline() time.Duration {
	return time.Duration(e.DeadlineMS) * time.Millisecond
}
