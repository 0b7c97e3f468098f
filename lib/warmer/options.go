package warmer

import "time"

const (
	defaultProof            = 5
	defaultUnreportedProof  = 20
	defaultRampStep         = 2
	defaultFailureThreshold = 3
	defaultBackoff          = time.Second
	defaultMaxBackoff       = 30 * time.Second
	defaultLeavingDoubt     = 10 * time.Second
	// coldLimit is how many requests a cold endpoint may have in flight.
	coldLimit = 1
	// mostPerSlot is how many requests for each slot work that has waited for long may bring a warm endpoint to.
	mostPerSlot = 4
	// maxLimit bounds the ramp whatever the number of slots.
	maxLimit = 256
)

// Option changes a setting of a Warmer.
type Option func(*Warmer)

// WithProof sets how many answers, one at a time, a cold endpoint has to complete before its report is believed.
func WithProof(answers int) Option {
	return func(w *Warmer) { w.proof = answers }
}

// WithUnreportedProof sets how many answers are needed where no report says that the endpoint is warm.
func WithUnreportedProof(answers int) Option {
	return func(w *Warmer) { w.unreportedProof = answers }
}

// WithRampStep sets how many answers for each request in flight raise the limit of a warm endpoint by one.
func WithRampStep(answers int) Option {
	return func(w *Warmer) { w.rampStep = max(answers, 1) }
}

// WithFailureThreshold sets how many failures in a row close the endpoint.
func WithFailureThreshold(failures int) Option {
	return func(w *Warmer) { w.failureThreshold = failures }
}

// WithBackoff sets how long a failed endpoint is closed at first and at most.
func WithBackoff(first, longest time.Duration) Option {
	return func(w *Warmer) {
		w.firstBackoff = first
		w.maxBackoff = longest
	}
}

// WithLeavingDoubt sets after which time without a sign of leaving an endpoint that stayed gets work again.
func WithLeavingDoubt(d time.Duration) Option {
	return func(w *Warmer) { w.leavingDoubt = d }
}
