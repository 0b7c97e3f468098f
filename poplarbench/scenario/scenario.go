package scenario

import "time"

// Values that a scenario may hold in its field arrivals.
const (
	Poisson  = "poisson"
	Constant = "constant"
)

// Scenario is the load that a run offers.
type Scenario struct {
	// DurationMS is how long requests arrive, in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// Seed fixes arrivals, mix, request ids and targets.
	Seed uint64 `json:"seed"`
	// RatePerS is the mean number of arrivals in a second.
	RatePerS float64 `json:"rate_per_s"`
	// Arrivals is poisson (the default) or constant.
	Arrivals string `json:"arrivals,omitempty"`
	// Mix holds the kinds of request, drawn by weight.
	Mix []Entry `json:"mix"`
}

// Entry is one kind of request in the mix.
type Entry struct {
	Name   string `json:"name"`
	Weight int64  `json:"weight"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Host is the value of the Host header; the target's address when empty.
	Host string `json:"host,omitempty"`
	// BodyBytes is the size of the request's body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// AnswerBytes is the least size of the answer that the endpoint is asked for.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// OnceOnly says that a second execution is an error.
	OnceOnly bool `json:"once_only,omitempty"`
	// IdempotencyKey sends a key of its own with each request.
	IdempotencyKey bool `json:"idempotency_key,omitempty"`
	// DeadlineMS travels with the request; zero sends none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Marker is text sent along, to be searched for where it must not be.
	Marker string `json:"marker,omitempty"`
	// HomeRegions are the only regions that may execute the request; empty for all.
	HomeRegions []string `json:"home_regions,omitempty"`
}

// Duration returns how long requests arrive.
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

// WithDuration returns a copy with another duration, cut to milliseconds.
func (s Scenario) WithDuration(duration time.Duration) Scenario {
	s.DurationMS = duration.Milliseconds()
	return s
}

// Deadline returns the time that the caller grants, zero for none.
func (e Entry) Deadline() time.Duration {
	return time.Duration(e.DeadlineMS) * time.Millisecond
}
