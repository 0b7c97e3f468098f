package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/wish"
)

const retryAfter = time.Second

// dispatchOnce sends bytes of the job to at most one endpoint that may run it.
//
// It tries anew only while every attempt so far is known not to have run.
func (d *Dispatcher) dispatchOnce(ctx context.Context, cancel context.CancelFunc, j job.Job, w wish.Wish) (*answer.Answer, error) {
	d.record(d.clock(), j.Class.Service)
	for sends := 1; ; sends++ {
		b, err := d.binder.Bind(ctx, w)
		if err != nil {
			cancel()
			return nil, notRun(err)
		}
		a, err := d.attempt(ctx, j, b)
		if err == nil {
			a.Attempts = sends
			return a.WithRelease(cancel), nil
		}
		if !errors.Is(err, refusal.ErrNotRun) {
			refused := unknown(ctx, err)
			cancel()
			return nil, refused
		}
		if sends == sendsOf(j.Class) || !d.mayRepeat(j) {
			cancel()
			return nil, notRun(err)
		}
		w = w.WithExcluded(b.Endpoint.ID)
	}
}

// mayRepeat reports whether a once-only job that was not run may be sent anew.
func (d *Dispatcher) mayRepeat(j job.Job) bool {
	return d.onceRetries == nil || d.onceRetries.Spend(d.clock(), j.Class.Service)
}

// notRun returns the refusal of a job that no endpoint ran.
func notRun(err error) error {
	var r *refusal.Refusal
	if errors.As(err, &r) && errors.Is(r, refusal.ErrNotRun) {
		return r
	}
	return refusal.NotRun(http.StatusServiceUnavailable, err.Error()).WithRetryAfter(retryAfter)
}

// unknown returns the refusal of a job that an endpoint may have run.
func unknown(ctx context.Context, err error) error {
	r := refusal.Unknown(err.Error())
	if ctx.Err() != nil {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}
