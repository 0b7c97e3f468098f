package rolloutdecider

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/collector"
	"poplarhook.example/poplarhook/models/conductor"
	"poplarhook.example/poplarhook/models/judge"
	"poplarhook.example/poplarhook/models/trial"
)

const (
	// interval is the time between two looks at the reports while an order is carried out.
	interval = 200 * time.Millisecond
	// takeOverAfter is the time without a reply of the decider after which another host takes over, and takeOverStep how
	// much longer each host in rank waits than the one before.
	takeOverAfter = 1200 * time.Millisecond
	takeOverStep  = 600 * time.Millisecond
	// termDelay is how much longer each takeover waits than the one before, for maxTermDelays of them.
	termDelay     = 200 * time.Millisecond
	maxTermDelays = 8
	// writeTimeout bounds one call to the store.
	writeTimeout = time.Second
	// firstRetry and maxRetry bound the pause after a failed call, since calls are priced.
	firstRetry = 250 * time.Millisecond
	maxRetry   = time.Second
	// maxReportBytes bounds one report.
	maxReportBytes = 1 << 20
	// windows is the number of windows in which the target version is judged.
	windows = 8
)

// Store writes what was decided.
type Store struct {
	// WriteState writes a state if its object still has the state's revision, and returns it with the new revision.
	WriteState func(ctx context.Context, s rollout.State) (rollout.State, error)
	// WriteStatus reports the status of an order to the platform.
	WriteStatus func(ctx context.Context, o rollout.Order) error
	// Conflict is the error of a write whose condition does not hold.
	Conflict error
}

// Host is what the decider needs to know about its host and the others.
type Host struct {
	ID string
	// FollowsStore reports whether this host follows the store itself.
	FollowsStore func() bool
	// Place returns the place of this host in the order in which hosts take over, from zero.
	Place func() int
	// Hosts returns the ids of all entry hosts.
	Hosts func() []string
	// Slots returns the number of slots of the service's endpoints that are not leaving, by version.
	Slots func(service string) map[string]int
	// Apply applies a state on this host before the store's watch shows it.
	Apply func(states ...rollout.State)
	// Silence returns for how long the decider of another state has not replied to this host.
	Silence func(decider string) time.Duration
}

// Decider decides the orders whose states name this host, and begins or takes over others. It is safe for concurrent
// use.
type Decider struct {
	host      Host
	store     Store
	conductor conductor.Conductor
	clock     func() time.Time
	logger    *zap.Logger
	counter   func(event string)
	changed   chan struct{}

	mu     sync.Mutex
	orders map[string]seenOrder
	states map[string]seenState
	trials map[string]*trialRecord
	// retries holds when each service's next call to the store may be made after a failed one.
	retries map[string]retry
}

type seenOrder struct {
	order  rollout.Order
	seenAt time.Time
}

type seenState struct {
	state  rollout.State
	seenAt time.Time
}

type retry struct {
	at    time.Time
	pause time.Duration
}

// trialRecord is what is known about the order of one service.
type trialRecord struct {
	collector *collector.Collector
	judge     *judge.Judge
	// windows is the number of windows that were started.
	windows int
	isBad   bool
}

// Option changes how a Decider is built.
type Option func(*Decider)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option {
	return func(d *Decider) { d.clock = clock }
}

// WithLogger sets the logger for decisions.
func WithLogger(logger *zap.Logger) Option {
	return func(d *Decider) { d.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(d *Decider) { d.counter = count }
}

// New returns a Decider that decides by the conductor.
func New(h Host, s Store, c conductor.Conductor, options ...Option) *Decider {
	d := &Decider{
		host: h, store: s, conductor: c, clock: time.Now, logger: zap.NewNop(), counter: func(string) {},
		changed: make(chan struct{}, 1), orders: make(map[string]seenOrder), states: make(map[string]seenState),
		trials: make(map[string]*trialRecord), retries: make(map[string]retry),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

func (d *Decider) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// SetOrders replaces the orders.
func (d *Decider) SetOrders(orders map[string]rollout.Order) {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.orders
	d.orders = make(map[string]seenOrder, len(orders))
	for name, o := range orders {
		seen := seenOrder{order: o, seenAt: now}
		if known, was := before[name]; was && known.order.Target == o.Target && known.order.DurationMS == o.DurationMS {
			seen.seenAt = known.seenAt
		}
		d.orders[name] = seen
	}
	d.notify()
}

// SetStates applies states that are newer than the known ones. A state with the revision of a newer object replaces one
// with the same step, which this host may have written without success.
func (d *Decider) SetStates(states ...rollout.State) {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range states {
		d.setState(now, s)
	}
	d.notify()
}

func (d *Decider) setState(now time.Time, s rollout.State) {
	known, has := d.states[s.Service]
	if has && s.Revision <= known.state.Revision {
		return
	}
	d.states[s.Service] = seenState{state: s, seenAt: now}
	delete(d.retries, s.Service)
	d.recordOf(s.Service, s.OrderRevision, s.Target)
}

// recordOf returns the record of the order, a new one if the known one belongs to an earlier order. The caller holds the
// lock.
func (d *Decider) recordOf(service string, orderRevision int64, target string) *trialRecord {
	known := d.trials[service]
	if known == nil || !known.collector.IsFor(orderRevision, target) {
		known = &trialRecord{collector: collector.New(orderRevision, target), judge: judge.New()}
		d.trials[service] = known
	}
	return known
}

// Receive records a report and returns the reply.
func (d *Decider) Receive(r trial.Report) trial.Reply {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := trial.Reply{Follows: d.host.FollowsStore()}
	for _, s := range r.Services {
		state, has := d.states[s.Service]
		if has && (state.state.OrderRevision != s.OrderRevision || state.state.Step != s.Step) {
			reply.States = append(reply.States, state.state)
		}
		if has && state.state.OrderRevision != s.OrderRevision {
			continue
		}
		record := d.recordOf(s.Service, s.OrderRevision, s.Target)
		record.collector.Record(now, r.Host, r.Boot, s)
		if record.isBad {
			reply.Halted = append(reply.Halted, s.Service)
		}
	}
	return reply
}

// ServeHTTP takes the report of another host.
func (d *Decider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report trial.Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&report); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.Receive(report)); err != nil {
		d.counter("rollout_reply_failed")
	}
}

// Run decides until the context ends; the channel receives nil at the end.
func (d *Decider) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if !d.decideAll(ctx) {
				select {
				case <-ctx.Done():
				case <-d.changed:
				}
				continue
			}
			timer := time.NewTimer(interval)
			select {
			case <-ctx.Done():
			case <-d.changed:
			case <-timer.C:
			}
			timer.Stop()
		}
		done <- nil
	}()
	return done
}

// decideAll decides every order and reports whether any is still to be carried out.
func (d *Decider) decideAll(ctx context.Context) bool {
	isBusy := false
	for _, name := range d.services() {
		if d.decide(ctx, name) {
			isBusy = true
		}
	}
	return isBusy
}

// services returns the services that have an order or a state that is carried out.
func (d *Decider) services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.orders))
	for name := range d.orders {
		names = append(names, name)
	}
	for name, s := range d.states {
		if _, ordered := d.orders[name]; !ordered && s.state.Phase.IsActive() {
			names = append(names, name)
		}
	}
	return names
}

// action is what this host does next for one order.
type action struct {
	state  rollout.State
	write  bool
	order  rollout.Order
	status bool
	isBusy bool
	event  string
}

// decide decides one order, makes at most one call to the store, and reports whether the order is still to be carried
// out.
func (d *Decider) decide(ctx context.Context, name string) bool {
	a := d.nextAction(name)
	switch {
	case a.write:
		d.writeState(ctx, a)
	case a.status:
		d.writeStatus(ctx, a.order)
	}
	return a.isBusy
}

// nextAction returns what this host does next for the order of the service.
func (d *Decider) nextAction(name string) action {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.situation(now, name)
	next, changes := d.conductor.Next(s)
	a := action{state: next, order: s.Order, isBusy: changes || s.HasState && s.State.Phase.IsActive()}
	isUnreported := s.HasOrder && s.HasState && s.State.IsFor(s.Order) && s.State.Phase != rollout.Dropped &&
		s.Order.Status != conductor.Status(s.State.Phase)
	a.isBusy = a.isBusy || isUnreported
	if !a.isBusy || !d.host.FollowsStore() || now.Before(d.retries[name].at) {
		return a
	}
	if !d.mayDecide(now, name, s) {
		return a
	}
	switch {
	case s.HasState && s.State.Phase.IsActive() && s.HasOrder && s.State.IsFor(s.Order) && s.State.Decider != d.host.ID:
		a.state, a.write, a.event = d.conductor.TakeOver(s.State), true, "rollout_taken_over"
	case changes:
		a.write, a.event = true, "rollout_"+string(next.Phase)
	case isUnreported:
		a.order, a.status = s.Order.WithStatus(conductor.Status(s.State.Phase)), true
	}
	return a
}

// mayDecide reports whether this host is the one to act: it is the decider, or those before it in rank have had time to
// act and the decider is silent. The caller holds the lock.
func (d *Decider) mayDecide(now time.Time, name string, s conductor.Situation) bool {
	delay := time.Duration(d.host.Place()) * takeOverStep
	isForOrder := s.HasState && s.HasOrder && s.State.IsFor(s.Order)
	switch {
	case s.HasState && s.State.Decider == d.host.ID && (isForOrder || s.State.Phase.IsActive()):
		return true
	case s.HasState && s.State.Phase.IsActive():
		// The silence counts from this term on, and each takeover waits longer than the one before, since two hosts that
		// cannot reach each other would otherwise take turns.
		silence := min(d.host.Silence(s.State.Decider), now.Sub(d.states[name].seenAt))
		return silence >= takeOverAfter+delay+time.Duration(min(s.State.Term, maxTermDelays))*termDelay
	case isForOrder:
		return now.Sub(d.states[name].seenAt) >= takeOverAfter+delay
	default:
		return now.Sub(d.orders[name].seenAt) >= delay
	}
}

// situation returns what is known of the service. The caller holds the lock.
func (d *Decider) situation(now time.Time, name string) conductor.Situation {
	o, hasOrder := d.orders[name]
	state, hasState := d.states[name]
	s := conductor.Situation{Now: now, Order: o.order, HasOrder: hasOrder, State: state.state, HasState: hasState}
	target := s.State.Target
	if hasOrder {
		target = s.Order.Target
	}
	for version, slots := range d.host.Slots(name) {
		s.Live = append(s.Live, version)
		if version == target {
			s.TargetSlots += slots
			continue
		}
		s.OldSlots += slots
	}
	hosts := d.host.Hosts()
	s.Hosts = len(hosts)
	record := d.trials[name]
	if !hasState || record == nil || !s.State.Phase.IsActive() {
		return s
	}
	s.Counts = record.collector.Counts()
	s.IsBad, s.IsSuspicious = d.judge(now, record, s)
	since := now.Add(-conductor.SilentAfter())
	s.Heard = record.collector.Heard(hosts, since)
	s.Reporting, s.Silent = record.collector.Unmoved(hosts, s.State.Step, since)
	return s
}

// judge starts the windows that are due and judges the target version. A version that was bad once stays so. The caller
// holds the lock.
func (d *Decider) judge(now time.Time, record *trialRecord, s conductor.Situation) (isBad, isSuspicious bool) {
	length := conductor.VerdictAt(s.State.Duration()) / windows
	for record.windows < windows && now.Sub(s.State.Started()) >= time.Duration(record.windows+1)*length {
		record.windows++
		record.judge.StartWindow(s.Counts.New)
	}
	judgment := record.judge.Judge(s.Counts)
	if !record.isBad && judgment.IsBad {
		record.isBad = true
		d.counter("rollout_bad_version")
		responses := s.Counts.New.Total()
		d.logger.Warn("version is worse than the one before", zap.String("service", s.State.Service), zap.String("target", s.State.Target),
			zap.Float64("evidence", judgment.Evidence), zap.Int64("responses", responses.Responses()), zap.Int64("failures", responses.Failures))
	}
	return record.isBad, judgment.IsSuspicious
}

// writeState writes a state to the store and applies it on this host.
func (d *Decider) writeState(ctx context.Context, a action) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := d.store.WriteState(ctx, a.state)
	if err != nil {
		d.recordFailure(a.state.Service, err)
		return
	}
	d.counter(a.event)
	d.mu.Lock()
	counts := trial.Counts{}
	if record := d.trials[a.state.Service]; record != nil {
		counts = record.collector.Counts()
	}
	d.setState(d.clock(), written)
	d.mu.Unlock()
	d.host.Apply(written)
	d.logger.Info("rollout decided", zap.String("service", written.Service), zap.String("target", written.Target), zap.String("phase", string(written.Phase)),
		zap.Int64("term", written.Term), zap.Int64("step", written.Step), zap.String("reason", written.Reason), zap.Int64("requests", counts.Requests), zap.Int64("exposed", counts.Exposed),
		zap.Int64("responses", counts.New.Total().Responses()), zap.Int64("failures", counts.New.Total().Failures), zap.Int64("store_revision", written.Revision))
	d.notify()
}

// writeStatus reports the status of an order to the platform.
func (d *Decider) writeStatus(ctx context.Context, o rollout.Order) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := d.store.WriteStatus(ctx, o); err != nil {
		d.recordFailure(o.Service, err)
		return
	}
	d.counter("rollout_status")
	d.logger.Info("rollout status reported", zap.String("service", o.Service), zap.String("target", o.Target), zap.String("status", o.Status))
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, still := d.orders[o.Service]; still && known.order.Target == o.Target {
		known.order.Status, known.order.StatusTarget = o.Status, o.StatusTarget
		d.orders[o.Service] = known
	}
}

// recordFailure delays the next call for the service. After a conflict the watch brings the state that another host has
// written.
func (d *Decider) recordFailure(service string, err error) {
	event := "rollout_write_failed"
	if errors.Is(err, d.store.Conflict) {
		event = "rollout_conflict"
	}
	d.counter(event)
	d.logger.Warn("writing a rollout failed", zap.String("service", service), zap.String("error", err.Error()))
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.retries[service]
	r.pause = min(max(2*r.pause, firstRetry), maxRetry)
	r.at = d.clock().Add(r.pause)
	d.retries[service] = r
}
