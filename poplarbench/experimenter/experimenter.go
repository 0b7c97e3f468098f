package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/accountant"
	"poplarhook.example/poplarbench/collector"
	"poplarhook.example/poplarbench/ledger"
	"poplarhook.example/poplarbench/locator"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/recorder"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/runner"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
)

const (
	defaultSettle  = 500 * time.Millisecond
	collectTimeout = 30 * time.Second
)

// Option changes an experimenter under construction.
type Option func(*Experimenter)

// Experimenter runs a scenario against targets and accounts for every request.
type Experimenter struct {
	scenario scenario.Scenario
	targets  []string
	clock    func() time.Time
	choice   string
	label    string
	controls []string
	hostList string
	settle   time.Duration
	sending  []sender.Option
}

// New returns an experimenter that sends the scenario to the targets' addresses.
func New(s scenario.Scenario, targets []string, clock func() time.Time, options ...Option) *Experimenter {
	e := &Experimenter{
		scenario: s,
		targets:  targets,
		clock:    clock,
		choice:   scheduler.RoundRobin,
		settle:   defaultSettle,
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// WithLabel names the run in its result.
func WithLabel(label string) Option {
	return func(e *Experimenter) { e.label = label }
}

// WithChoice sets how targets are chosen, by scheduler.RoundRobin or scheduler.Random.
func WithChoice(choice string) Option {
	return func(e *Experimenter) { e.choice = choice }
}

// WithControls sets the control addresses whose execution records are accounted for.
func WithControls(addresses ...string) Option {
	return func(e *Experimenter) { e.controls = addresses }
}

// WithHostList sets the URL of the platform's host list, by which home regions are checked.
func WithHostList(url string) Option {
	return func(e *Experimenter) { e.hostList = url }
}

// WithSettle sets how long late executions may still start before the records are fetched.
func WithSettle(settle time.Duration) Option {
	return func(e *Experimenter) { e.settle = settle }
}

// WithSending hands options to the sender.
func WithSending(options ...sender.Option) Option {
	return func(e *Experimenter) { e.sending = append(e.sending, options...) }
}

// Run runs the scenario; when records cannot be fetched, the result comes with an error, not accounted.
func (e *Experimenter) Run(ctx context.Context) (result.Result, error) {
	schedule, err := scheduler.New(e.scenario, len(e.targets), e.choice)
	if err != nil {
		return result.Result{}, err
	}
	regions, err := e.regions(ctx)
	if err != nil {
		return result.Result{}, err
	}
	requests := sender.New(e.scenario.Mix, e.targets, e.clock, e.sending...)
	defer requests.Close()
	start := e.clock()
	outcomes := runner.New(schedule, requests, e.clock).Run(ctx)
	measured := e.record(outcomes)
	if len(e.controls) == 0 {
		return measured, nil
	}
	records, err := e.ledger(ctx, start)
	if err != nil {
		return measured, err
	}
	accounts := accountant.New(e.scenario.Mix, regions...).Accounts(outcomes, records.Executions)
	return measured.WithAccount(accounts).WithLedger(accountant.Classes(records.Executions), records), nil
}

func (e *Experimenter) record(outcomes []outcome.Outcome) result.Result {
	record := recorder.New(e.scenario)
	for _, seen := range outcomes {
		record.Add(seen)
	}
	measured := record.Result()
	measured.Label = e.label
	measured.Targets = len(e.targets)
	return measured
}

// regions reads the host list before the run, while the endpoints that may leave are still listed.
func (e *Experimenter) regions(ctx context.Context) ([]accountant.Option, error) {
	if e.hostList == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	hosts, err := collector.New(http.DefaultClient).Hosts(ctx, e.hostList)
	if err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	return []accountant.Option{accountant.WithRegions(locator.New(hosts))}, nil
}

// ledger returns the endpoints' records, with the work that started after the start of the run.
func (e *Experimenter) ledger(ctx context.Context, start time.Time) (ledger.Ledger, error) {
	// Records count also after a cancelled run, so only their own timeout ends the fetching.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), collectTimeout)
	defer cancel()
	select {
	case <-time.After(e.settle):
	case <-ctx.Done():
	}
	all, err := collector.New(http.DefaultClient).Ledger(ctx, e.controls...)
	return all.Since(start.UnixMicro()), errors.Wrap(err, "fetching execution records")
}
