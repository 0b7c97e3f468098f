package refusal

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Outcomes that a refusal states to the caller.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// ErrNotRun means that no endpoint ran the request.
var ErrNotRun = errors.New("request was not run")

// ErrUnknown means that an endpoint may have run the request.
var ErrUnknown = errors.New("outcome of the request is unknown")

// Refusal is the error of a request that ends without a complete answer from an endpoint.
type Refusal struct {
	Status     int
	Outcome    string
	Reason     string
	RetryAfter time.Duration
}

// NotRun returns the refusal of a request that no endpoint ran.
func NotRun(status int, reason string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Reason: reason}
}

// Unknown returns the refusal of a request that an endpoint may have run.
func Unknown(reason string) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: reason}
}

// WithRetryAfter returns a copy with the time that the caller should wait before it retries.
func (r Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return &r
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string {
	return r.Outcome + ": " + r.Reason
}

// Is reports whether the target is the sentinel error of the refusal's outcome.
func (r *Refusal) Is(target error) bool {
	if r.Outcome == OutcomeNotRun {
		return target == ErrNotRun
	}
	return target == ErrUnknown
}
