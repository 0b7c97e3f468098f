package apportioner

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/splitter"
	"poplarhook.example/poplarhook/models/trial"
)

// Apportioner applies orders and their states to the requests of this host. It is safe for concurrent use.
type Apportioner struct {
	clock   func() time.Time
	logger  *zap.Logger
	counter func(event string)
	changed chan struct{}

	mu       sync.Mutex
	splitter *splitter.Splitter
}

// Option changes how an Apportioner is built.
type Option func(*Apportioner)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option {
	return func(a *Apportioner) { a.clock = clock }
}

// WithLogger sets the logger for changes of states.
func WithLogger(logger *zap.Logger) Option {
	return func(a *Apportioner) { a.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(a *Apportioner) { a.counter = count }
}

// New returns an Apportioner that uses the splitter.
func New(s *splitter.Splitter, options ...Option) *Apportioner {
	a := &Apportioner{
		clock: time.Now, logger: zap.NewNop(), counter: func(string) {}, changed: make(chan struct{}, 1), splitter: s,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Changed returns a channel that receives a value after a state has changed.
func (a *Apportioner) Changed() <-chan struct{} {
	return a.changed
}

func (a *Apportioner) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// SetEndpoints replaces the list of endpoints; it is called before they may be chosen.
func (a *Apportioner) SetEndpoints(endpoints []host.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.splitter.SetEndpoints(a.clock(), endpoints)
}

// SetOrders replaces the orders.
func (a *Apportioner) SetOrders(orders map[string]rollout.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.splitter.SetOrders(orders)
	a.notify()
}

// SetStates applies the states that are newer than the known ones.
func (a *Apportioner) SetStates(states ...rollout.State) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range states {
		if a.splitter.SetState(now, s) {
			a.counter("rollout_state_applied")
			a.logger.Info("rollout state applied", zap.String("service", s.Service), zap.String("target", s.Target), zap.String("phase", string(s.Phase)),
				zap.Int64("step", s.Step), zap.String("decider", s.Decider), zap.Float64("share", s.Share), zap.String("reason", s.Reason))
			a.notify()
		}
	}
}

// Halt stops requests to the target version of the service until a newer state is known; the reason is logged.
func (a *Apportioner) Halt(service, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.splitter.Halt(service) {
		a.counter("rollout_halted")
		a.logger.Warn("version on trial halted on this host", zap.String("service", service), zap.String("reason", reason))
	}
}

// Confirm records that the decider has confirmed the state of the service.
func (a *Apportioner) Confirm(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.splitter.Confirm(a.clock(), service)
}

// Active returns the states of the services whose orders are being carried out.
func (a *Apportioner) Active() []rollout.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Active()
}

// Report returns the report of this host about the service, and whether there is one.
func (a *Apportioner) Report(service string) (trial.ServiceReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Report(service)
}

// Live returns the versions of the service with endpoints that are not leaving.
func (a *Apportioner) Live(service string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Live(service)
}

// Choose returns the versions that may serve the next attempt of a request to the service.
func (a *Apportioner) Choose(service string, isFirst bool) splitter.Choice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Choose(a.clock(), service, isFirst)
}

// Withdraw returns the choice without the target version, for an attempt for which it has no endpoint.
func (a *Apportioner) Withdraw(c splitter.Choice) splitter.Choice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Withdraw(a.clock(), c)
}

// Begin counts an attempt as in flight at an endpoint of the version, and reports false if the version may not serve it
// any more.
func (a *Apportioner) Begin(c splitter.Choice, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.splitter.Begin(a.clock(), c, version)
}

// slowedFactor is the slow factor from which an endpoint counts as slow by its own report.
const slowedFactor = 2

// Finish counts the end of an attempt. A cold endpoint's response time shows nothing about its version.
func (a *Apportioner) Finish(b binding.Binding, r report.Report, isCold bool, roundTrip time.Duration) {
	o := splitter.Outcome{
		Slowed:    b.SlowFactor >= slowedFactor,
		Responded: r.Err == nil && !r.Refused && !r.Misdirected,
		Late:      r.Cancelled && !r.Unsent && !isCold,
	}
	o.Failed = o.Responded && r.Status >= http.StatusInternalServerError
	if !isCold {
		o.Took = max(time.Duration(float64(r.Latency-roundTrip)/max(b.SlowFactor, 1)), 1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.splitter.Finish(b.Endpoint.Service, b.Endpoint.Version, b.Class, o)
}
