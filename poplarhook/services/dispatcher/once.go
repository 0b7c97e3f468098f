package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller may repeat a request that endpoints refused or
	// that did not reach them. Others may have room at once, and an answer to the repeated request may still be in time.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 100 * time.Millisecond
)

// dispatchOnce sends a once-only job so that at most one endpoint may run it.
//
// It retries only while it is known that no attempt so far was run.
func (d *Dispatcher) dispatchOnce(ctx context.Context, cancel context.CancelFunc, j job.Job, req requirement.Requirement) (*answer.Answer, error) {
	d.recordFirstAttempt(d.clock(), j.Class.Service)
	for sends := 1; ; sends++ {
		b, err := d.binder.Bind(ctx, req)
		if err != nil {
			cancel()
			return nil, d.notRunRefusal(req, err)
		}
		a, err := d.sendToEndpoint(ctx, j, b)
		if err == nil {
			a.Attempts = sends
			return a.WithRelease(cancel), nil
		}
		if !errors.Is(err, refusal.ErrNotRun) {
			refused := unknownRefusal(ctx, err)
			cancel()
			return nil, refused
		}
		if sends == maxSendsFor(j.Class) || !d.mayRetryOnceOnly(j) {
			cancel()
			return nil, d.notRunRefusal(req, err)
		}
		req = req.WithExcluded(b.Endpoint.ID)
	}
}

// mayRetryOnceOnly reports whether the budget allows a retry of a once-only job that was not run.
func (d *Dispatcher) mayRetryOnceOnly(j job.Job) bool {
	return d.onceOnlyRetryBudget == nil || d.onceOnlyRetryBudget.Spend(d.clock(), j.Class.Service)
}

// notRunRefusal returns the refusal of a job that no endpoint ran. The times of return are spread, so that callers who
// were refused together do not come back together. They are later if all endpoints of the job want a pause.
func (d *Dispatcher) notRunRefusal(req requirement.Requirement, err error) error {
	var r *refusal.Refusal
	if errors.As(err, &r) && errors.Is(r, refusal.ErrNotRun) {
		return r
	}
	wait := d.quietRetryAfter(req)
	if wait == 0 {
		wait = minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	}
	return refusal.NotRun(http.StatusServiceUnavailable, err.Error()).WithRetryAfter(wait)
}

// unknownRefusal returns the refusal of a job that an endpoint may have run.
func unknownRefusal(ctx context.Context, err error) error {
	r := refusal.Unknown(err.Error())
	if ctx.Err() != nil {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}
