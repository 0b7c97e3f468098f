package dispatcher

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
)

// binder binds requests to endpoints.
type binder interface {
	// Bind waits for an endpoint. Its error is the refusal of a request that was not run.
	Bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error)
	// Finish ends a binding and records the report of its exchange with the endpoint.
	Finish(b binding.Binding, r report.Report)
}

// sender sends one request to one endpoint, once.
type sender interface {
	Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error)
	CloseIdleConnections(endpoint host.Host, confirmedBefore time.Time)
}

// planner orders the groups that may serve a class.
type planner interface {
	Plan(c class.Class) []group.Group
}

// hedgeTimer decides after which delay an unanswered request is hedged.
type hedgeTimer interface {
	Record(now time.Time, class string, latency time.Duration)
	Delay(now time.Time, j job.Job) time.Duration
}

// attemptBudget limits the hedges or retries of a service to a share of its recent requests.
type attemptBudget interface {
	Record(now time.Time, service string)
	Spend(now time.Time, service string) bool
}

const (
	maxSends            = 4
	defaultColdDeadline = 2 * time.Second
	// suspectAfter is the age from which a cancelled, unanswered attempt is a reason to suspect
	// the endpoint's other connections too.
	suspectAfter = 250 * time.Millisecond
	// bufferSize is how much of an answer's body is read before the caller gets its head, in bytes.
	bufferSize = 64 << 10
)

// Dispatcher binds and sends classified requests until each is answered or refused.
type Dispatcher struct {
	clock       func() time.Time
	binder      binder
	sender      sender
	planner     planner
	hedgeTimer  hedgeTimer
	hedgeBudget attemptBudget
	retryBudget attemptBudget
	counter     counter
	// coldDeadline limits how long a cold endpoint may work on one request.
	coldDeadline time.Duration
	reader       reader
	// onceOnlyRetryBudget limits the retries of once-only requests that were not run.
	// If it is nil, only maxSends limits them.
	onceOnlyRetryBudget attemptBudget
	logger              *zap.Logger
	// observe is called with the report of each answer's head, before its body is read.
	observe func(b binding.Binding, r report.Report)
	// quietRetryAfter returns when a caller may retry if no endpoint takes requests for some time, zero if one does.
	quietRetryAfter func(req requirement.Requirement) time.Duration
}

// reader reads from an answer whether the request was run and how loaded the endpoint is.
type reader interface {
	// Report reads the head of the answer to a job.
	Report(j job.Job, response *http.Response) report.Report
	// Refuses reports whether the endpoint states that it did not run the request.
	Refuses(response *http.Response, body []byte) bool
}

// WithReader sets the reader of answers, for endpoints that do not use Poplarhook's own headers.
func WithReader(r reader) Option {
	return func(d *Dispatcher) { d.reader = r }
}

// WithObserver sets the function that is called with the report of each answer as soon as its head is received. The body
// of an answer may take long, and what the head states of the endpoint holds at once.
func WithObserver(observe func(b binding.Binding, r report.Report)) Option {
	return func(d *Dispatcher) { d.observe = observe }
}

// WithQuietRetryAfter sets the function that returns when a caller may retry if all endpoints of its request want a pause,
// zero if they do not.
func WithQuietRetryAfter(quietRetryAfter func(req requirement.Requirement) time.Duration) Option {
	return func(d *Dispatcher) { d.quietRetryAfter = quietRetryAfter }
}

// WithOnceOnlyRetries limits how often once-only requests that were not run are retried.
func WithOnceOnlyRetries(b attemptBudget) Option {
	return func(d *Dispatcher) { d.onceOnlyRetryBudget = b }
}

// WithLogger sets the logger for decisions on requests.
func WithLogger(logger *zap.Logger) Option {
	return func(d *Dispatcher) { d.logger = logger }
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithHedges enables hedged requests for idempotent classes, within the budget.
func WithHedges(t hedgeTimer, b attemptBudget) Option {
	return func(d *Dispatcher) { d.hedgeTimer, d.hedgeBudget = t, b }
}

// WithRetries enables retries of failed idempotent requests, within the budget.
func WithRetries(b attemptBudget) Option {
	return func(d *Dispatcher) { d.retryBudget = b }
}

// WithColdDeadline limits how long a cold endpoint may work on one request.
func WithColdDeadline(deadline time.Duration) Option {
	return func(d *Dispatcher) { d.coldDeadline = deadline }
}

// WithCounter sets the function that counts events by name.
func WithCounter(count func(event string)) Option {
	return func(d *Dispatcher) { d.counter = count }
}

// counter counts events by name.
type counter func(event string)

// New returns a Dispatcher that uses the given binder, sender and planner.
func New(b binder, s sender, p planner, options ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:   time.Now,
		binder:  b,
		sender:  s,
		planner: p,
		counter: func(string) {},

		coldDeadline: defaultColdDeadline,
		reader:       orcaReader{},
		logger:       zap.NewNop(),
		observe:      func(binding.Binding, report.Report) {},

		quietRetryAfter: func(requirement.Requirement) time.Duration { return 0 },
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// maxSendsFor returns to how many endpoints at most a request of the class may be sent.
func maxSendsFor(c class.Class) int {
	if c.MaxSends > 0 {
		return min(c.MaxSends, maxSends)
	}
	return maxSends
}

// Dispatch returns the endpoint's answer or a *refusal.Refusal. The caller closes the answer.
func (d *Dispatcher) Dispatch(ctx context.Context, j job.Job) (*answer.Answer, error) {
	req, err := d.requirementFor(j)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancelCause(ctx)
	ctx, stop := context.WithDeadline(ctx, j.Deadline)
	cancel := func() {
		end(errSuperseded)
		stop()
	}
	if j.Class.IsOnceOnly() {
		return d.dispatchOnce(ctx, cancel, j, req)
	}
	return d.dispatchIdempotent(ctx, cancel, j, req)
}

func (d *Dispatcher) requirementFor(j job.Job) (requirement.Requirement, error) {
	groups := d.planner.Plan(j.Class)
	if len(groups) == 0 {
		return requirement.Requirement{}, refusal.NotRun(http.StatusServiceUnavailable, "no region that the class permits has endpoints")
	}
	return requirement.Requirement{
		Groups:    groups,
		Deadline:  j.Deadline,
		Urgency:   urgencyOf(j.Class),
		OnceOnly:  j.Class.IsOnceOnly(),
		ArrivedAt: j.ArrivedAt,
		Target:    j.ArrivedAt.Add(j.Class.LatencyTarget()),
		Class:     j.Class.Name,
		RequestID: j.ID,
	}, nil
}

func urgencyOf(c class.Class) int {
	switch c.Urgency {
	case class.UrgencyHigh:
		return requirement.High
	case class.UrgencyLow:
		return requirement.Low
	default:
		return requirement.Normal
	}
}
