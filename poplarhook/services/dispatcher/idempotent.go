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
	"poplarhook.example/poplarhook/models/requirement"
)

// result is the outcome of one attempt.
type result struct {
	answer   *answer.Answer
	err      error
	endpoint string
	latency  time.Duration
}

// attemptSet is the set of attempts for one idempotent job, of which the first answer is returned.
//
// The first attempt runs on the goroutine of the job and the others on their own,
// so that a job with a single attempt needs no other goroutine.
type attemptSet struct {
	dispatcher  *Dispatcher
	job         job.Job
	requirement requirement.Requirement
	results     chan result

	mu      sync.Mutex
	running int
	sends   int
	// hedgeTimer starts the hedge; it is nil until the first attempt is bound to an endpoint.
	hedgeTimer *time.Timer
	// cancelFirst cancels the first attempt.
	// firstEnded is true once the first attempt has ended, firstSuperseded if another attempt answered before that.
	cancelFirst     context.CancelCauseFunc
	firstEnded      bool
	firstSuperseded bool
	// closed is true once no further attempt may start.
	closed bool

	// mayHaveRun is true if an endpoint may have run the job.
	mayHaveRun bool
}

// dispatchIdempotent sends an idempotent job, hedges it when the answer is late and retries failures,
// within the budgets.
func (d *Dispatcher) dispatchIdempotent(ctx context.Context, cancel context.CancelFunc, j job.Job, req requirement.Requirement) (*answer.Answer, error) {
	r := &attemptSet{
		dispatcher: d, job: j, requirement: req,
		results: make(chan result, maxSends),
	}
	d.recordFirstAttempt(d.clock(), j.Class.Service)
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

// recordFirstAttempt records a first attempt in the hedge and retry budgets, only once if both are the same budget.
func (d *Dispatcher) recordFirstAttempt(now time.Time, service string) {
	if d.hedgeBudget != nil {
		d.hedgeBudget.Record(now, service)
	}
	if d.retryBudget != nil && d.retryBudget != d.hedgeBudget {
		d.retryBudget.Record(now, service)
	}
}

// run makes attempts until one is answered and returns that answer, or a refusal when the last one has failed.
func (r *attemptSet) run(ctx context.Context) (*answer.Answer, error) {
	got, valid := r.runFirst(ctx)
	if !valid {
		got = <-r.results
	}
	for {
		if got.err == nil {
			r.endAnsweredAttempt()
			r.recordLatency(got)
			return got.answer, nil
		}
		r.mayHaveRun = r.mayHaveRun || !errors.Is(got.err, refusal.ErrNotRun)
		if !r.startRetryIfAllowed(ctx, got) && r.endFailedAttempt() {
			return nil, r.refusalFor(ctx, got.err)
		}
		got = <-r.results
	}
}

// runFirst makes the first attempt. Its result is not valid if another attempt answered before it ended.
func (r *attemptSet) runFirst(ctx context.Context) (got result, valid bool) {
	r.running, r.sends = 1, 1
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	r.cancelFirst = cancelFirst
	got = r.bindAndSend(firstCtx, r.requirement, func(endpoint string) { r.scheduleHedge(ctx, endpoint) })
	r.mu.Lock()
	r.firstEnded = true
	superseded := r.firstSuperseded
	r.mu.Unlock()
	if got.err != nil {
		cancelFirst(nil)
	}
	if !superseded {
		return got, true
	}
	if got.answer != nil {
		got.answer.Close()
	}
	r.countEndedAttempt()
	return result{}, false
}

// bindAndSend binds the job, calls onBound with the endpoint's id and sends the job.
func (r *attemptSet) bindAndSend(ctx context.Context, req requirement.Requirement, onBound func(endpoint string)) result {
	b, err := r.dispatcher.binder.Bind(ctx, req)
	if err != nil {
		return result{err: err}
	}
	onBound(b.Endpoint.ID)
	sentAt := r.dispatcher.clock()
	a, err := r.dispatcher.sendToEndpoint(ctx, r.job, b)
	return result{answer: a, err: err, endpoint: b.Endpoint.ID, latency: r.dispatcher.clock().Sub(sentAt)}
}

// startRetry starts a further attempt, whose outcome arrives on results.
func (r *attemptSet) startRetry(ctx context.Context, excluded string) {
	go func() { r.runFurtherAttempt(ctx, excluded) }()
}

// runFurtherAttempt makes a hedge or a retry and cancels the first attempt if it is answered.
func (r *attemptSet) runFurtherAttempt(ctx context.Context, excluded string) {
	got := r.bindAndSend(ctx, r.requirement.WithExcluded(excluded).WithRepeats(), func(string) {})
	if got.err == nil {
		r.supersedeFirst()
	}
	r.results <- got
}

// supersedeFirst cancels the first attempt unless it has ended.
func (r *attemptSet) supersedeFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.firstEnded {
		r.firstSuperseded = true
		r.cancelFirst(errSuperseded)
	}
}

// scheduleHedge starts the timer of the hedge if hedging is enabled.
func (r *attemptSet) scheduleHedge(ctx context.Context, first string) {
	if r.dispatcher.hedgeTimer == nil {
		return
	}
	now := r.dispatcher.clock()
	delay := r.dispatcher.hedgeTimer.Delay(now, r.job)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedgeTimer = time.AfterFunc(delay, func() { r.startHedgeIfAllowed(ctx, first) })
}

func (r *attemptSet) startHedgeIfAllowed(ctx context.Context, first string) {
	if r.reserveAttempt(r.dispatcher.hedgeBudget, "hedge_sent", "hedge_denied") {
		r.runFurtherAttempt(ctx, first)
	}
}

// reserveAttempt counts a further attempt if the set is not closed and the number of sends and the budget allow it.
func (r *attemptSet) reserveAttempt(b attemptBudget, sentEvent, deniedEvent string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	allowed := r.sends < maxSendsFor(r.job.Class)
	budgeted := allowed && b.Spend(r.dispatcher.clock(), r.job.Class.Service)
	r.dispatcher.logger.Info("hedge or retry decided", zap.String("request", r.job.ID), zap.String("kind", sentEvent), zap.Int("sends", r.sends),
		zap.Bool("allowed", allowed), zap.Bool("budgeted", budgeted), zap.Duration("age", r.dispatcher.clock().Sub(r.job.ArrivedAt)))
	if !budgeted {
		r.dispatcher.counter(deniedEvent)
		return false
	}
	r.dispatcher.counter(sentEvent)
	r.running++
	r.sends++
	return true
}

// countEndedAttempt removes one attempt from those that count as running.
func (r *attemptSet) countEndedAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// endAnsweredAttempt counts the answered attempt as ended and prevents further attempts.
func (r *attemptSet) endAnsweredAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.close()
}

// endFailedAttempt counts a failed attempt as ended, and closes the set and returns true if no other attempt is
// running.
func (r *attemptSet) endFailedAttempt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if r.running == 0 {
		r.close()
	}
	return r.running == 0
}

// close prevents further attempts. The caller holds the lock.
func (r *attemptSet) close() {
	r.closed = true
	if r.hedgeTimer != nil {
		r.hedgeTimer.Stop()
	}
}

// startRetryIfAllowed starts another attempt after a failed one if the deadline, the number of sends and the retry
// budget allow it. It then counts the failed attempt as ended and reports true.
func (r *attemptSet) startRetryIfAllowed(ctx context.Context, failed result) bool {
	if ctx.Err() != nil || failed.endpoint == "" || r.dispatcher.retryBudget == nil || r.hasReachedMaxSends() {
		return false
	}
	if !r.reserveAttempt(r.dispatcher.retryBudget, "retry_sent", "retry_denied") {
		return false
	}
	r.countEndedAttempt()
	r.startRetry(ctx, failed.endpoint)
	return true
}

// hasReachedMaxSends reports whether the job was sent as often as its class allows.
func (r *attemptSet) hasReachedMaxSends() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends >= maxSendsFor(r.job.Class)
}

func (r *attemptSet) recordLatency(got result) {
	if r.dispatcher.hedgeTimer != nil {
		r.dispatcher.hedgeTimer.Record(r.dispatcher.clock(), r.job.Class.Name, got.latency)
	}
}

// refusalFor returns the refusal after the last attempt failed: unknown if an endpoint may have run the job,
// else not run.
func (r *attemptSet) refusalFor(ctx context.Context, err error) error {
	if r.mayHaveRun {
		return unknownRefusal(ctx, err)
	}
	return r.dispatcher.notRunRefusal(r.requirement, err)
}

// drain waits for the attempts that are still running, which end with their context, and closes their answers.
func (r *attemptSet) drain() {
	for ; r.running > 0; r.running-- {
		if got := <-r.results; got.answer != nil {
			got.answer.Close()
		}
	}
}
