package offerlimiter

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/models/stopper"
	"poplarhook.example/poplarhook/modules/exchanger"
)

// retryAfter is the retry time of requests that are refused during a stop. Other hosts can serve them at once.
const retryAfter = 30 * time.Millisecond

// binder binds requests to endpoints.
type binder interface {
	Bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error)
	Finish(b binding.Binding, r report.Report)
}

// Limiter is a binder through which all attempts of all requests pass.
type Limiter struct {
	binder binder
	clock  func() time.Time
	count  func(event string)
	plan   atomic.Pointer[stopper.Stopper]
	// late ends at the last offer of a stop.
	late    context.Context //nolint:containedctx // it tells waiting requests that the time has come
	setLate context.CancelFunc
	begin   sync.Once
}

// New returns a Limiter that binds with the binder. Count counts refused attempts by event.
func New(b binder, clock func() time.Time, count func(event string)) *Limiter {
	l := &Limiter{binder: b, clock: clock, count: count}
	l.late, l.setLate = context.WithCancel(context.Background())
	return l
}

// Stop applies the plan of a stop that begins now. Requests that still wait at its last offer are refused then. Only the
// first call has an effect.
func (l *Limiter) Stop(now time.Time, plan stopper.Stopper) {
	l.begin.Do(func() {
		l.plan.Store(&plan)
		time.AfterFunc(plan.LastOffer().Sub(now), l.setLate)
	})
}

// Bind binds the request to an endpoint. Its error is the refusal of a request that was not run, also if the host stops
// and the request may not be offered any more.
func (l *Limiter) Bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	if !l.mayOffer(req) {
		return binding.Binding{}, l.refuse()
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatch := context.AfterFunc(l.late, func() { //nolint:contextcheck // the last offer does not depend on the request
		if !l.mayOffer(req) {
			cancel()
		}
	})
	defer stopWatch()
	b, err := l.binder.Bind(waiting, req)
	switch {
	case err != nil && ctx.Err() == nil && waiting.Err() != nil:
		return binding.Binding{}, l.refuse()
	case err != nil:
		return binding.Binding{}, err
	case !l.mayOffer(req):
		l.binder.Finish(b, report.Report{Cancelled: true, Unsent: true, Err: exchanger.ErrNotAttempted})
		return binding.Binding{}, l.refuse()
	}
	return b, nil
}

// Finish ends a binding and records the report of its exchange with the endpoint.
func (l *Limiter) Finish(b binding.Binding, r report.Report) {
	l.binder.Finish(b, r)
}

func (l *Limiter) mayOffer(req requirement.Requirement) bool {
	plan := l.plan.Load()
	return plan == nil || plan.MayOffer(l.clock(), req.Deadline)
}

func (l *Limiter) refuse() error {
	l.count("bind_refused_stopping")
	return refusal.NotRun(http.StatusServiceUnavailable, "the host is stopping").WithRetryAfter(retryAfter)
}
