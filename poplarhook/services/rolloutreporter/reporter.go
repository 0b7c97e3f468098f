package rolloutreporter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/judge"
	"poplarhook.example/poplarhook/models/trial"
)

// Path is the path that takes reports.
const Path = "/v1/rollouts"

const (
	// reportTimeout bounds one report; the round trip to the farthest region is about 25 ms.
	reportTimeout = 400 * time.Millisecond
	dialTimeout   = 250 * time.Millisecond
	// idleTimeout closes connections to a decider after the end of an order.
	idleTimeout = 10 * time.Second
	// maxReplyBytes bounds the reply to a report.
	maxReplyBytes = 1 << 20
	// moveInterval is the time between two reports while all traffic moves, which ends with the last host's report.
	moveInterval = 250 * time.Millisecond
)

// apportioner holds what this host counts, and applies what the decider replies.
type apportioner interface {
	Active() []rollout.State
	Report(service string) (trial.ServiceReport, bool)
	SetStates(states ...rollout.State)
	Halt(service, reason string)
	Confirm(service string)
	Changed() <-chan struct{}
}

// Reporter sends this host's reports while an order is carried out, and nothing else. It is safe for concurrent use.
type Reporter struct {
	self     string
	boot     int64
	interval time.Duration
	source   apportioner
	// addressOf returns the peer address of an entry host, empty if it is not known.
	addressOf func(id string) string
	// local takes the reports of this host if it decides itself.
	local   func(r trial.Report) trial.Reply
	http    *http.Client
	clock   func() time.Time
	logger  *zap.Logger
	counter func(event string)

	mu sync.Mutex
	// contacts holds when each decider last replied that it follows the store.
	contacts map[string]time.Time
	failing  map[string]bool
}

// Option changes how a Reporter is built.
type Option func(*Reporter)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option {
	return func(r *Reporter) { r.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(r *Reporter) { r.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(r *Reporter) { r.counter = count }
}

// WithInterval sets the time between two reports.
func WithInterval(interval time.Duration) Option {
	return func(r *Reporter) { r.interval = interval }
}

// defaultInterval is the time between two reports.
const defaultInterval = 600 * time.Millisecond

// New returns a Reporter for the host; local takes the reports of orders that the host decides itself.
func New(self string, source apportioner, addressOf func(id string) string, local func(r trial.Report) trial.Reply, options ...Option) *Reporter {
	dialer := &net.Dialer{Timeout: dialTimeout}
	r := &Reporter{
		self: self, source: source, addressOf: addressOf, local: local, interval: defaultInterval,
		clock: time.Now, logger: zap.NewNop(), counter: func(string) {},
		contacts: make(map[string]time.Time), failing: make(map[string]bool),
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}},
	}
	for _, option := range options {
		option(r)
	}
	r.boot = r.clock().UnixNano()
	return r
}

// Run sends reports until the context ends; the channel receives nil at the end.
func (r *Reporter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer r.http.CloseIdleConnections()
		for ctx.Err() == nil {
			active := r.source.Active()
			if len(active) == 0 {
				r.forget()
				select {
				case <-ctx.Done():
				case <-r.source.Changed():
				}
				continue
			}
			r.reportAll(ctx, active)
			r.wait(ctx, active)
		}
		done <- nil
	}()
	return done
}

// wait waits until the next reports are due. A changed state is reported at once.
func (r *Reporter) wait(ctx context.Context, active []rollout.State) {
	interval := r.interval
	for _, s := range active {
		if s.Phase == rollout.Move {
			interval = min(interval, moveInterval)
		}
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.source.Changed():
	}
}

// forget drops what is known about deciders when no order is carried out.
func (r *Reporter) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.contacts)
	clear(r.failing)
}

// Silence returns for how long the decider has not replied that it follows the store. It counts from the first call for
// a decider that has not replied yet.
func (r *Reporter) Silence(decider string) time.Duration {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.contacts[decider]
	if !known {
		r.contacts[decider] = now
		return 0
	}
	return now.Sub(last)
}

// reportAll sends one report to the decider of each order, and halts versions on this host's own evidence.
func (r *Reporter) reportAll(ctx context.Context, active []rollout.State) {
	reports := make(map[string][]trial.ServiceReport)
	for _, s := range active {
		report, known := r.source.Report(s.Service)
		if !known {
			continue
		}
		if judge.New().Judge(report.Counts).IsBad {
			r.source.Halt(s.Service, "this host's own counters show that the version is worse")
		}
		reports[s.Decider] = append(reports[s.Decider], report)
	}
	var sent sync.WaitGroup
	for decider, services := range reports {
		sent.Go(func() { r.reportTo(ctx, decider, trial.Report{Host: r.self, Boot: r.boot, Services: services}) })
	}
	sent.Wait()
}

// reportTo sends a report to one decider and applies its reply.
func (r *Reporter) reportTo(ctx context.Context, decider string, report trial.Report) {
	reply, err := r.send(ctx, decider, report)
	r.logFailure(decider, err)
	if err != nil {
		return
	}
	if reply.Follows {
		r.mu.Lock()
		r.contacts[decider] = r.clock()
		r.mu.Unlock()
	}
	for _, s := range report.Services {
		r.source.Confirm(s.Service)
	}
	r.source.SetStates(reply.States...)
	for _, service := range reply.Halted {
		r.source.Halt(service, "the decider's counters show that the version is worse")
	}
}

// logFailure logs and counts the first of several failures in a row.
func (r *Reporter) logFailure(decider string, err error) {
	r.mu.Lock()
	wasFailing := r.failing[decider]
	r.failing[decider] = err != nil
	r.mu.Unlock()
	if err == nil {
		return
	}
	r.counter("rollout_report_failed")
	if !wasFailing {
		r.logger.Warn("reporting to the decider of a rollout failed", zap.String("decider", decider), zap.String("error", err.Error()))
	}
}

var (
	errUnknownDecider = errors.New("address of the decider is not known")
	errReportRefused  = errors.New("decider refused the report")
)

func (r *Reporter) send(ctx context.Context, decider string, report trial.Report) (trial.Reply, error) {
	if decider == r.self {
		return r.local(report), nil
	}
	address := r.addressOf(decider)
	if address == "" {
		return trial.Reply{}, errUnknownDecider
	}
	text, err := json.Marshal(report)
	if err != nil {
		return trial.Reply{}, errors.Wrap(err, "encode report")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(text))
	if err != nil {
		return trial.Reply{}, errors.Wrap(err, "build report")
	}
	response, err := r.http.Do(request)
	if err != nil {
		return trial.Reply{}, errors.Wrap(err, "send report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trial.Reply{}, errors.Wrapf(errReportRefused, "status %d", response.StatusCode)
	}
	r.counter("rollout_report")
	var reply trial.Reply
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply)
	return reply, errors.Wrap(err, "read reply")
}
