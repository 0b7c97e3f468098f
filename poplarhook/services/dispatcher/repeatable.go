package dispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/wish"
)

// result is the end of one attempt.
type result struct {
	answer   *answer.Answer
	err      error
	endpoint string
	latency  time.Duration
}

// race is the set of attempts for one idempotent job.
type race struct {
	d       *Dispatcher
	job     job.Job
	wish    wish.Wish
	results chan result
	bound   chan binding.Binding
	running int
	sends   int
	// maybeRun says that an endpoint may have run the job.
	maybeRun bool
}

// dispatchRepeatable sends the job, hedges it when the answer is late and retries failures, within the budgets.
func (d *Dispatcher) dispatchRepeatable(ctx context.Context, cancel context.CancelFunc, j job.Job, w wish.Wish) (*answer.Answer, error) {
	r := &race{
		d: d, job: j, wish: w,
		results: make(chan result, maxSends),
		bound:   make(chan binding.Binding, maxSends),
	}
	d.record(d.clock())
	a, err := r.run(ctx)
	if err != nil {
		cancel()
		r.drain()
		return nil, err
	}
	a.Attempts = r.sends
	return a.WithRelease(func() {
		cancel()
		r.drain()
	}), nil
}

func (d *Dispatcher) record(now time.Time) {
	if d.hedges != nil {
		d.hedges.Record(now)
	}
	if d.retries != nil {
		d.retries.Record(now)
	}
}

// run returns the first whole answer.
func (r *race) run(ctx context.Context) (*answer.Answer, error) {
	r.launch(ctx, "")
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	first := ""
	for {
		select {
		case b := <-r.bound:
			if first == "" {
				first = b.Endpoint.ID
				r.arm(hedge)
			}
		case <-hedge.C:
			r.hedge(ctx, first)
		case got := <-r.results:
			r.running--
			if got.err == nil {
				r.won(got)
				return got.answer, nil
			}
			r.maybeRun = r.maybeRun || !errors.Is(got.err, refusal.ErrNotRun)
			if r.retry(ctx, got) {
				continue
			}
			if r.running == 0 {
				return nil, r.refuse(ctx, got.err)
			}
		}
	}
}

// launch starts an attempt that reports its end on results.
func (r *race) launch(ctx context.Context, excluded string) {
	r.running++
	r.sends++
	w := r.wish.WithExcluded(excluded)
	go func() { r.results <- r.attempt(ctx, w) }()
}

func (r *race) attempt(ctx context.Context, w wish.Wish) result {
	b, err := r.d.binder.Bind(ctx, w)
	if err != nil {
		return result{err: err}
	}
	r.bound <- b
	sentAt := r.d.clock()
	a, err := r.d.attempt(ctx, r.job, b)
	return result{answer: a, err: err, endpoint: b.Endpoint.ID, latency: r.d.clock().Sub(sentAt)}
}

// arm sets the timer to when the job is worth a second attempt.
func (r *race) arm(timer *time.Timer) {
	if r.d.hedger == nil {
		return
	}
	now := r.d.clock()
	timer.Reset(r.d.hedger.Delay(now, r.job.Class.Name, r.job.Until.Sub(now)))
}

func (r *race) hedge(ctx context.Context, first string) {
	if r.sends >= maxSends || !r.d.hedges.Spend(r.d.clock()) {
		r.d.counter("hedge_denied")
		return
	}
	r.d.counter("hedge_sent")
	r.launch(ctx, first)
}

// retry launches another attempt after a failed one if the class's budget and deadline allow.
func (r *race) retry(ctx context.Context, failed result) bool {
	if ctx.Err() != nil || failed.endpoint == "" || r.sends >= maxSends || r.d.retries == nil {
		return false
	}
	if !r.d.retries.Spend(r.d.clock()) {
		r.d.counter("retry_denied")
		return false
	}
	r.d.counter("retry_sent")
	r.launch(ctx, failed.endpoint)
	return true
}

func (r *race) won(got result) {
	if r.d.hedger != nil {
		r.d.hedger.Record(r.d.clock(), r.job.Class.Name, got.latency)
	}
}

// refuse tells the caller what is known after the last attempt failed.
func (r *race) refuse(ctx context.Context, err error) error {
	if r.maybeRun {
		return unknown(ctx, err)
	}
	return notRun(err)
}

// drain waits for the attempts that lost, which end when their context does.
func (r *race) drain() {
	for ; r.running > 0; r.running-- {
		if got := <-r.results; got.answer != nil {
			got.answer.Close()
		}
	}
}
