package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/answer"
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
//
// The first attempt runs on the goroutine of the job and the others on their
// own, so that a job without a second attempt is handed over to none.
type race struct {
	d       *Dispatcher
	job     job.Job
	wish    wish.Wish
	results chan result

	mu      sync.Mutex
	running int
	sends   int
	// timer is that of the second attempt, nil until the first one has an endpoint.
	timer *time.Timer
	// yield ends the first attempt; led says that it has ended by itself, and yielded that another one answered before.
	yield   context.CancelCauseFunc
	led     bool
	yielded bool
	// over says that no further attempt may start.
	over bool

	// maybeRun says that an endpoint may have run the job.
	maybeRun bool
}

// dispatchRepeatable sends the job, hedges it when the answer is late and retries failures, within the budgets.
func (d *Dispatcher) dispatchRepeatable(ctx context.Context, cancel context.CancelFunc, j job.Job, w wish.Wish) (*answer.Answer, error) {
	r := &race{
		d: d, job: j, wish: w,
		results: make(chan result, maxSends),
	}
	d.record(d.clock(), j.Class.Service)
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

// record counts a first attempt in every budget, once in each.
func (d *Dispatcher) record(now time.Time, service string) {
	if d.hedges != nil {
		d.hedges.Record(now, service)
	}
	if d.retries != nil && d.retries != d.hedges {
		d.retries.Record(now, service)
	}
}

// run returns the first whole answer.
func (r *race) run(ctx context.Context) (*answer.Answer, error) {
	got, counts := r.lead(ctx)
	if !counts {
		got = <-r.results
	}
	for {
		if got.err == nil {
			r.end()
			r.won(got)
			return got.answer, nil
		}
		r.maybeRun = r.maybeRun || !errors.Is(got.err, refusal.ErrNotRun)
		if !r.retry(ctx, got) && r.endIfLast() {
			return nil, r.refuse(ctx, got.err)
		}
		got = <-r.results
	}
}

// lead makes the first attempt; its result does not count if another attempt answered before it ended.
func (r *race) lead(ctx context.Context) (got result, counts bool) {
	r.running, r.sends = 1, 1
	first, yield := context.WithCancelCause(ctx)
	r.yield = yield
	got = r.attempt(first, r.wish, func(endpoint string) { r.arm(ctx, endpoint) })
	r.mu.Lock()
	r.led = true
	yielded := r.yielded
	r.mu.Unlock()
	if got.err != nil {
		yield(nil)
	}
	if !yielded {
		return got, true
	}
	if got.answer != nil {
		got.answer.Close()
	}
	r.leave()
	return result{}, false
}

// attempt binds the job, tells its endpoint and sends it.
func (r *race) attempt(ctx context.Context, w wish.Wish, bound func(endpoint string)) result {
	b, err := r.d.binder.Bind(ctx, w)
	if err != nil {
		return result{err: err}
	}
	bound(b.Endpoint.ID)
	sentAt := r.d.clock()
	a, err := r.d.attempt(ctx, r.job, b)
	return result{answer: a, err: err, endpoint: b.Endpoint.ID, latency: r.d.clock().Sub(sentAt)}
}

// launch starts an attempt that reports its end on results.
func (r *race) launch(ctx context.Context, excluded string) {
	go func() { r.follow(ctx, excluded) }()
}

// follow makes a further attempt; the first one yields to its answer.
func (r *race) follow(ctx context.Context, excluded string) {
	got := r.attempt(ctx, r.wish.WithExcluded(excluded), func(string) {})
	if got.err == nil {
		r.overtake()
	}
	r.results <- got
}

// overtake ends the first attempt unless it has ended.
func (r *race) overtake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.led {
		r.yielded = true
		r.yield(errOvertaken)
	}
}

// arm has a second attempt made when the job is worth it.
func (r *race) arm(ctx context.Context, first string) {
	if r.d.hedger == nil {
		return
	}
	now := r.d.clock()
	delay := r.d.hedger.Delay(now, r.job)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(delay, func() { r.hedge(ctx, first) })
}

func (r *race) hedge(ctx context.Context, first string) {
	if r.enter(r.d.hedges, "hedge_sent", "hedge_denied") {
		r.follow(ctx, first)
	}
}

// enter counts a further attempt in if the race is on and the number of attempts and the budget allow it.
func (r *race) enter(b budget, sent, denied string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	allowed := r.sends < sendsOf(r.job.Class)
	budgeted := allowed && b.Spend(r.d.clock(), r.job.Class.Service)
	r.d.logger.Info("repeat decided", zap.String("request", r.job.ID), zap.String("kind", sent), zap.Int("sends", r.sends),
		zap.Bool("allowed", allowed), zap.Bool("budgeted", budgeted), zap.Duration("age", r.d.clock().Sub(r.job.Arrived)))
	if !budgeted {
		r.d.counter(denied)
		return false
	}
	r.d.counter(sent)
	r.running++
	r.sends++
	return true
}

// leave counts an attempt out.
func (r *race) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// end counts the winner out and lets no further attempt start.
func (r *race) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.stop()
}

// endIfLast counts a failed attempt out and ends the race if it was the last.
func (r *race) endIfLast() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.running == 0 {
		r.stop()
	}
	return r.running == 0
}

// stop is called with the lock held.
func (r *race) stop() {
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// retry launches another attempt after a failed one if the class's budget and deadline allow.
func (r *race) retry(ctx context.Context, failed result) bool {
	if ctx.Err() != nil || failed.endpoint == "" || r.d.retries == nil || r.isSpent() {
		return false
	}
	if !r.enter(r.d.retries, "retry_sent", "retry_denied") {
		return false
	}
	r.leave()
	r.launch(ctx, failed.endpoint)
	return true
}

// isSpent reports whether as many attempts were made as may be.
func (r *race) isSpent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends >= sendsOf(r.job.Class)
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
