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
	"poplarhook.example/poplarhook/models/wish"
)

// binder bonds requests to endpoints.
type binder interface {
	// Bind waits for an endpoint; its error is a refusal of a request that was not run.
	Bind(ctx context.Context, w wish.Wish) (binding.Binding, error)
	// Finish ends a bond with what the exchange showed.
	Finish(b binding.Binding, r report.Report)
}

// sender sends one request to one endpoint, once.
type sender interface {
	Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error)
	LeaveSilent(endpoint host.Host, provedBefore time.Time)
}

// planner orders the groups that may serve a class.
type planner interface {
	Plan(c class.Class) []group.Group
}

// hedger tells when an unanswered request of a class is worth a second try.
type hedger interface {
	Record(now time.Time, class string, latency time.Duration)
	Delay(now time.Time, j job.Job) time.Duration
}

// budget bounds the repeats at a service to a share of its recent work.
type budget interface {
	Record(now time.Time, service string)
	Spend(now time.Time, service string) bool
}

const (
	maxSends            = 4
	defaultColdDeadline = 2 * time.Second
	// silentAfter is the age at which a request given up says that other connections may be silent too.
	silentAfter = 250 * time.Millisecond
	// bufferSize is how much of an answer is read before the caller gets its head, in bytes.
	bufferSize = 64 << 10
)

// Dispatcher takes classified requests to their ends.
type Dispatcher struct {
	clock   func() time.Time
	binder  binder
	sender  sender
	planner planner
	hedger  hedger
	hedges  budget
	retries budget
	counter counter
	// coldDeadline bounds the work of a cold endpoint for one request.
	coldDeadline time.Duration
	reader       reader
	// onceRetries bounds the repeats of once-only requests that were not run, nil for maxSends alone.
	onceRetries budget
	logger      *zap.Logger
}

// reader reads what an answer says of the request and of its endpoint.
type reader interface {
	// Report reads the head of the answer to a job.
	Report(j job.Job, response *http.Response) report.Report
	// Refuses reports whether the endpoint promises that it did not run the request.
	Refuses(response *http.Response, body []byte) bool
}

// WithReader sets how answers are read, for endpoints that do not speak the product's own headers.
func WithReader(r reader) Option {
	return func(d *Dispatcher) { d.reader = r }
}

// WithOnceRetries bounds how often once-only requests are sent anew after they were not run.
func WithOnceRetries(b budget) Option {
	return func(d *Dispatcher) { d.onceRetries = b }
}

// WithLogger sets where decisions on requests are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(d *Dispatcher) { d.logger = logger }
}

// Option changes how a Dispatcher is built.
type Option func(*Dispatcher)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithHedges lets idempotent requests be sent twice, within the budget.
func WithHedges(h hedger, b budget) Option {
	return func(d *Dispatcher) { d.hedger, d.hedges = h, b }
}

// WithRetries lets idempotent requests be sent anew after a failure, within the budget.
func WithRetries(b budget) Option {
	return func(d *Dispatcher) { d.retries = b }
}

// WithColdDeadline bounds the time that a cold endpoint is given for one request.
func WithColdDeadline(deadline time.Duration) Option {
	return func(d *Dispatcher) { d.coldDeadline = deadline }
}

// WithCounter sets where events are counted.
func WithCounter(count func(event string)) Option {
	return func(d *Dispatcher) { d.counter = count }
}

// counter counts events by name.
type counter func(event string)

// New returns a Dispatcher that binds and sends by the given parts.
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
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// sendsOf returns how many endpoints a request of the class may be sent to.
func sendsOf(c class.Class) int {
	if c.MaxSends > 0 {
		return min(c.MaxSends, maxSends)
	}
	return maxSends
}

// Dispatch returns the endpoint's answer or a *refusal.Refusal. The caller closes the answer.
func (d *Dispatcher) Dispatch(ctx context.Context, j job.Job) (*answer.Answer, error) {
	w, err := d.wishFor(j)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancelCause(ctx)
	ctx, stop := context.WithDeadline(ctx, j.Until)
	cancel := func() {
		end(errOvertaken)
		stop()
	}
	if j.Class.IsOnceOnly() {
		return d.dispatchOnce(ctx, cancel, j, w)
	}
	return d.dispatchRepeatable(ctx, cancel, j, w)
}

func (d *Dispatcher) wishFor(j job.Job) (wish.Wish, error) {
	groups := d.planner.Plan(j.Class)
	if len(groups) == 0 {
		return wish.Wish{}, refusal.NotRun(http.StatusServiceUnavailable, "no region that the class permits has endpoints")
	}
	return wish.Wish{
		Groups:   groups,
		Until:    j.Until,
		Urgency:  urgencyOf(j.Class),
		OnceOnly: j.Class.IsOnceOnly(),
		Arrived:  j.Arrived,
		Target:   j.Arrived.Add(j.Class.LatencyTarget()),
		Class:    j.Class.Name,
		Request:  j.ID,
	}, nil
}

func urgencyOf(c class.Class) int {
	switch c.Urgency {
	case class.UrgencyHigh:
		return wish.High
	case class.UrgencyLow:
		return wish.Low
	default:
		return wish.Normal
	}
}
