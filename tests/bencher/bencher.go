package bencher

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/reporter"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/choice"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/mix"
)

const (
	// connections exceeds the number of requests that can be in flight at the rates and deadlines of the scenarios.
	connections   = 4096
	defaultPolicy = "owner"
	// warmUpDuration is how long load is offered before each measurement, so that the connections are open and the
	// entry hosts know the groups when the measurement starts.
	warmUpDuration = 2 * time.Second
)

// Bencher runs experiments and writes the result of each run to a separate file.
type Bencher struct {
	bin         string
	scenarios   string
	results     string
	out         io.Writer
	clock       func() time.Time
	policies    []string
	seeds       []uint64
	entries     int
	duration    time.Duration
	regionDelay time.Duration
	// entryArguments are added to the command line of every entry host.
	entryArguments []string
	// zoneChoice is the deployment and the load of the ZoneOutage experiment.
	zoneChoice choice.Choice
	// zoneRate is the load of ZoneOutage in requests per second; zero keeps the rate of the scenario.
	zoneRate float64
}

// Option configures a Bencher.
type Option func(*Bencher)

// WithPolicies sets the policies to compare.
func WithPolicies(policies ...string) Option {
	return func(b *Bencher) { b.policies = policies }
}

// WithSeeds sets the seeds; each policy is measured once with each seed.
func WithSeeds(seeds ...uint64) Option {
	return func(b *Bencher) { b.seeds = seeds }
}

// WithEntries sets the number of entry hosts.
func WithEntries(count int) Option {
	return func(b *Bencher) { b.entries = count }
}

// WithDuration sets the duration of each run; zero keeps the duration of the scenario.
func WithDuration(duration time.Duration) Option {
	return func(b *Bencher) { b.duration = duration }
}

// WithZoneChoice sets the deployment and the load of the ZoneOutage experiment.
func WithZoneChoice(chosen choice.Choice) Option {
	return func(b *Bencher) { b.zoneChoice = chosen }
}

// WithZoneRate sets the requests per second of the ZoneOutage experiment; zero keeps the rate of the scenario.
func WithZoneRate(ratePerS float64) Option {
	return func(b *Bencher) { b.zoneRate = ratePerS }
}

// WithRegionDelay sets the one-way network delay between regions in NoisyEndpoints and ZoneOutage, in whole
// milliseconds; the default is no delay.
func WithRegionDelay(oneWay time.Duration) Option {
	return func(b *Bencher) { b.regionDelay = oneWay }
}

// WithEntryArguments adds arguments to the command line of every entry host.
func WithEntryArguments(arguments ...string) Option {
	return func(b *Bencher) { b.entryArguments = append(b.entryArguments, arguments...) }
}

// New returns a Bencher that runs the programs in the folder bin, reads scenario files from the folder scenarios,
// writes result files to the folder results and prints tables to out.
func New(bin, scenarios, results string, out io.Writer, clock func() time.Time, options ...Option) *Bencher {
	b := &Bencher{
		bin:       bin,
		scenarios: scenarios,
		results:   results,
		out:       out,
		clock:     clock,
		policies:  []string{defaultPolicy, "two_choices", "random"},
		seeds:     []uint64{1, 2, 3},
		entries:   6,

		zoneChoice: choice.Choice{Name: choice.Kite, Deployment: deployment.Kite(), Mix: mix.Kite()},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// readScenario reads the scenario file of the given name and replaces its duration if the bencher has one.
func (b *Bencher) readScenario(name string) (scenario.Scenario, error) {
	file, err := os.Open(filepath.Join(b.scenarios, name+".json"))
	if err != nil {
		return scenario.Scenario{}, errors.Wrap(err, "opening a scenario")
	}
	defer file.Close()
	parsed, err := scenario.Parse(file)
	if err != nil {
		return scenario.Scenario{}, errors.Wrapf(err, "scenario %s", name)
	}
	if b.duration > 0 {
		parsed = parsed.WithDuration(b.duration)
	}
	return parsed, nil
}

// forEachRun calls measure for every seed and policy: for all policies with the first seed, then with the next seed.
func (b *Bencher) forEachRun(measure func(seed uint64, policy string) error) error {
	for _, seed := range b.seeds {
		for _, policy := range b.policies {
			if err := measure(seed, policy); err != nil {
				return errors.Wrapf(err, "policy %s, seed %d", policy, seed)
			}
		}
	}
	return nil
}

// warmUpAndMeasure offers load without measuring it for warmUpDuration, and then measures the load.
func (b *Bencher) warmUpAndMeasure(ctx context.Context, running *fleet.Fleet, load scenario.Scenario, label string) (result.Result, error) {
	if err := b.warmUp(ctx, running.EntryAddresses(), load); err != nil {
		return result.Result{}, err
	}
	return b.measure(ctx, running, load, label)
}

// measure offers the load to the entry hosts, checks what became of each request and measures the rate of the bytes
// that the entry hosts send to each other during the load.
func (b *Bencher) measure(ctx context.Context, running *fleet.Fleet, load scenario.Scenario, label string) (result.Result, error) {
	before, err := controlBytes(ctx, running)
	if err != nil {
		return result.Result{}, err
	}
	start := b.clock()
	measured, err := experimenter.New(load, running.EntryAddresses(), b.clock,
		experimenter.WithLabel(label),
		experimenter.WithControls(running.ControlAddresses()...),
		experimenter.WithHostList(running.HostListURL()),
		experimenter.WithSenderOptions(sender.WithConnections(connections)),
	).Run(ctx)
	if err != nil {
		return measured, err
	}
	elapsed := b.clock().Sub(start)
	after, err := controlBytes(ctx, running)
	measured.ControlBytesPerHostPerS = float64(after-before) / elapsed.Seconds() / float64(b.entries)
	return measured, err
}

// warmUp offers the load with another seed, so that its request ids differ from those of the measurement.
func (b *Bencher) warmUp(ctx context.Context, targets []string, load scenario.Scenario) error {
	warmUpLoad := load.WithSeed(load.Seed + 1<<32).WithDuration(warmUpDuration)
	_, err := experimenter.New(warmUpLoad, targets, b.clock,
		experimenter.WithSenderOptions(sender.WithConnections(connections))).Run(ctx)
	return err
}

// writeResult writes a result to the file name.json in the folder of results.
func (b *Bencher) writeResult(name string, measured result.Result) error {
	if err := os.MkdirAll(b.results, 0o755); err != nil {
		return errors.Wrap(err, "results folder")
	}
	file, err := os.Create(filepath.Join(b.results, name+".json"))
	if err != nil {
		return errors.Wrap(err, "result file")
	}
	defer file.Close()
	return reporter.New(file).JSON(measured)
}

// stopFleet stops the fleet and returns the error of the measurement or, if there is none, that of the stop.
func stopFleet(running *fleet.Fleet, measureErr error) error {
	stopErr := errors.Wrap(running.Stop(), "stopping the fleet")
	if measureErr != nil {
		return measureErr
	}
	return stopErr
}

func (b *Bencher) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(b.out, format+"\n", arguments...)
}
