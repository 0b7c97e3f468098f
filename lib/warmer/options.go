package warmer

import "time"

const (
	defaultRequiredAnswers   = 5
	defaultUnreportedAnswers = 20
	defaultRampAnswers       = 2
	defaultFailureThreshold  = 3
	defaultBackoff           = time.Second
	defaultMaxBackoff        = 30 * time.Second
	defaultLeavingTimeout    = 10 * time.Second
	// coldLimit is how many requests a cold endpoint may have in flight.
	coldLimit = 1
	// maxRequestsPerSlot is the maximum number of requests in flight per slot of a warm endpoint, counting requests
	// that may exceed the usual limit because they have waited for a long time.
	maxRequestsPerSlot = 4
	// maxLimit is the highest limit of an endpoint, independent of its number of slots.
	maxLimit = 256
)

// Option changes a setting of a Warmer.
type Option func(*Warmer)

// WithRequiredAnswers sets how many answers, one at a time, a cold endpoint has to complete before it counts as warm if
// its load report says that it is warm.
func WithRequiredAnswers(answers int) Option {
	return func(w *Warmer) { w.requiredAnswers = answers }
}

// WithUnreportedAnswers sets how many answers a cold endpoint has to complete before it counts as warm if no load
// report says that it is warm.
func WithUnreportedAnswers(answers int) Option {
	return func(w *Warmer) { w.unreportedAnswers = answers }
}

// WithRampAnswers sets how fast the limit of a warm endpoint ramps: it rises by one after as many answers as the
// product of the current limit and the given number, which counts as 1 if it is lower.
func WithRampAnswers(answers int) Option {
	return func(w *Warmer) { w.rampAnswers = max(answers, 1) }
}

// WithFailureThreshold sets how many consecutive failures close the endpoint, so that it gets no requests for some
// time.
func WithFailureThreshold(failures int) Option {
	return func(w *Warmer) { w.failureThreshold = failures }
}

// WithBackoff sets the first and the longest time for which a failed endpoint is closed.
func WithBackoff(first, longest time.Duration) Option {
	return func(w *Warmer) {
		w.firstBackoff = first
		w.maxBackoff = longest
	}
}

// WithLeavingTimeout sets how long after its last report of leaving an endpoint may get requests again, if it then
// reports that it is not leaving.
func WithLeavingTimeout(d time.Duration) Option {
	return func(w *Warmer) { w.leavingTimeout = d }
}
