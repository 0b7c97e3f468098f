package experimenter

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/collector"
	"poplarhook.example/poplarbench/endpointrecords"
	"poplarhook.example/poplarbench/locator"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/reconciler"
	"poplarhook.example/poplarbench/recorder"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/runner"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
)

const (
	defaultCollectDelay = 500 * time.Millisecond
	collectTimeout      = 30 * time.Second
)

// Option configures an Experimenter.
type Option func(*Experimenter)

// Experimenter runs a scenario against targets and compares the outcome of every request with the endpoints' records.
type Experimenter struct {
	scenario         scenario.Scenario
	targets          []string
	clock            func() time.Time
	targetChoice     string
	label            string
	controlAddresses []string
	hostListURL      string
	collectDelay     time.Duration
	senderOptions    []sender.Option
}

// New returns an experimenter that sends the load of the scenario to the addresses of the targets.
func New(s scenario.Scenario, targets []string, clock func() time.Time, options ...Option) *Experimenter {
	e := &Experimenter{
		scenario:     s,
		targets:      targets,
		clock:        clock,
		targetChoice: scheduler.RoundRobin,
		collectDelay: defaultCollectDelay,
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// WithLabel sets the label of the run in its result.
func WithLabel(label string) Option {
	return func(e *Experimenter) { e.label = label }
}

// WithTargetChoice sets how targets are chosen: scheduler.RoundRobin or scheduler.Random.
func WithTargetChoice(choice string) Option {
	return func(e *Experimenter) { e.targetChoice = choice }
}

// WithControls sets the control addresses of the endpoint stand-ins whose execution records are compared with the
// outcomes.
func WithControls(addresses ...string) Option {
	return func(e *Experimenter) { e.controlAddresses = addresses }
}

// WithHostList sets the URL of the platform's host list, which is used to check home regions.
func WithHostList(url string) Option {
	return func(e *Experimenter) { e.hostListURL = url }
}

// WithCollectDelay sets the delay between the last outcome and the fetching of the records, in which late executions
// may still start.
func WithCollectDelay(delay time.Duration) Option {
	return func(e *Experimenter) { e.collectDelay = delay }
}

// WithSenderOptions adds options of the sender.
func WithSenderOptions(options ...sender.Option) Option {
	return func(e *Experimenter) { e.senderOptions = append(e.senderOptions, options...) }
}

// Run runs the scenario. If the records cannot be fetched, it returns an error together with the result, which then
// holds no discrepancies.
func (e *Experimenter) Run(ctx context.Context) (result.Result, error) {
	schedule, err := scheduler.New(e.scenario, len(e.targets), e.targetChoice)
	if err != nil {
		return result.Result{}, err
	}
	regions, err := e.regionOptions(ctx)
	if err != nil {
		return result.Result{}, err
	}
	s := sender.New(e.scenario.Mix, e.targets, e.clock, e.senderOptions...)
	defer s.Close()
	start := e.clock()
	outcomes := runner.New(schedule, s, e.clock).Run(ctx)
	measured := e.summarize(outcomes)
	if len(e.controlAddresses) == 0 {
		return measured, nil
	}
	records, err := e.fetchRecords(ctx, start)
	if err != nil {
		return measured, err
	}
	discrepancies := reconciler.New(e.scenario.Mix, regions...).Reconcile(outcomes, records.Executions)
	return measured.WithDiscrepancies(discrepancies).WithRecords(reconciler.CountByClass(records.Executions), records), nil
}

func (e *Experimenter) summarize(outcomes []outcome.Outcome) result.Result {
	rec := recorder.New(e.scenario)
	for _, o := range outcomes {
		rec.Add(o)
	}
	measured := rec.Result()
	measured.Label = e.label
	measured.Targets = len(e.targets)
	return measured
}

// regionOptions returns the option that sets the regions of endpoints. The host list is read before the run, because
// endpoints that leave during the run are no longer listed after it.
func (e *Experimenter) regionOptions(ctx context.Context) ([]reconciler.Option, error) {
	if e.hostListURL == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	hosts, err := collector.New(http.DefaultClient).Hosts(ctx, e.hostListURL)
	if err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	return []reconciler.Option{reconciler.WithRegions(locator.New(hosts))}, nil
}

// fetchRecords returns the endpoints' records, restricted to executions that started after the start of the run.
func (e *Experimenter) fetchRecords(ctx context.Context, start time.Time) (endpointrecords.Records, error) {
	// The records are also needed after a cancelled run, so only the timeout ends the fetching.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), collectTimeout)
	defer cancel()
	select {
	case <-time.After(e.collectDelay):
	case <-ctx.Done():
	}
	all, err := collector.New(http.DefaultClient).Records(ctx, e.controlAddresses...)
	return all.StartedSince(start.UnixMicro()), errors.Wrap(err, "fetching execution records")
}
