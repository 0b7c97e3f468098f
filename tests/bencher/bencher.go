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
	// connections is more than can be in flight at the scenarios' rates within their deadlines.
	connections   = 4096
	defaultPolicy = "owner"
	// warmUp is offered before each measurement, so that connections are open and groups known.
	warmUp = 2 * time.Second
)

// Bencher runs experiments and writes each result to a file of its own.
type Bencher struct {
	bin       string
	scenarios string
	results   string
	out       io.Writer
	clock     func() time.Time
	policies  []string
	seeds     []uint64
	entries   int
	duration  time.Duration
	distance  time.Duration
	// arguments are handed to every entry host.
	arguments []string
	// zoneChoice is what runs while an availability zone leaves and returns.
	zoneChoice choice.Choice
	// zoneRate is that load's requests a second, zero for the scenario's.
	zoneRate float64
}

// Option changes a bencher under construction.
type Option func(*Bencher)

// WithPolicies sets the policies to compare.
func WithPolicies(policies ...string) Option {
	return func(b *Bencher) { b.policies = policies }
}

// WithSeeds sets the seeds, each of which is one run for each policy.
func WithSeeds(seeds ...uint64) Option {
	return func(b *Bencher) { b.seeds = seeds }
}

// WithEntries sets the number of entry hosts.
func WithEntries(count int) Option {
	return func(b *Bencher) { b.entries = count }
}

// WithDuration sets how long each run lasts in place of the scenario's time; zero keeps that.
func WithDuration(duration time.Duration) Option {
	return func(b *Bencher) { b.duration = duration }
}

// WithZoneChoice sets whose deployment and load are measured while an availability zone leaves and returns.
func WithZoneChoice(chosen choice.Choice) Option {
	return func(b *Bencher) { b.zoneChoice = chosen }
}

// WithZoneRate sets the requests a second offered while an availability zone leaves and returns; zero keeps the scenario's.
func WithZoneRate(ratePerS float64) Option {
	return func(b *Bencher) { b.zoneRate = ratePerS }
}

// WithDistance sets what bytes take one way between regions in Noisy and Zone, in whole milliseconds; none by default.
func WithDistance(oneWay time.Duration) Option {
	return func(b *Bencher) { b.distance = oneWay }
}

// WithEntryArguments hands further arguments to every entry host.
func WithEntryArguments(arguments ...string) Option {
	return func(b *Bencher) { b.arguments = append(b.arguments, arguments...) }
}

// New returns a bencher of the programs in bin that reads scenario files, writes result files and prints tables to out.
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

// load reads the scenario file of a name and puts the bencher's own settings over it.
func (b *Bencher) load(name string) (scenario.Scenario, error) {
	file, err := os.Open(filepath.Join(b.scenarios, name+".json"))
	if err != nil {
		return scenario.Scenario{}, errors.Wrap(err, "opening a scenario")
	}
	defer file.Close()
	read, err := scenario.Parse(file)
	if err != nil {
		return scenario.Scenario{}, errors.Wrapf(err, "scenario %s", name)
	}
	if b.duration > 0 {
		read = read.WithDuration(b.duration)
	}
	return read, nil
}

// each calls measure for every seed and policy; the policies of one seed follow one another.
func (b *Bencher) each(measure func(seed uint64, policy string) error) error {
	for _, seed := range b.seeds {
		for _, policy := range b.policies {
			if err := measure(seed, policy); err != nil {
				return errors.Wrapf(err, "policy %s, seed %d", policy, seed)
			}
		}
	}
	return nil
}

// offer warms the fleet up, offers the load to its entry hosts and accounts for it.
func (b *Bencher) offer(ctx context.Context, running *fleet.Fleet, load scenario.Scenario, label string) (result.Result, error) {
	if err := b.warm(ctx, running.EntryAddresses(), load); err != nil {
		return result.Result{}, err
	}
	return b.measure(ctx, running, load, label)
}

// measure offers the load, accounts for it and counts what the entry hosts sent to one another meanwhile.
func (b *Bencher) measure(ctx context.Context, running *fleet.Fleet, load scenario.Scenario, label string) (result.Result, error) {
	before, err := controlBytes(ctx, running)
	if err != nil {
		return result.Result{}, err
	}
	start := b.clock()
	measured, err := experimenter.New(load, running.EntryAddresses(), b.clock,
		experimenter.WithLabel(label),
		experimenter.WithControls(running.Controls()...),
		experimenter.WithHostList(running.HostListURL()),
		experimenter.WithSending(sender.WithConnections(connections)),
	).Run(ctx)
	if err != nil {
		return measured, err
	}
	span := b.clock().Sub(start)
	after, err := controlBytes(ctx, running)
	measured.ControlBytesPerHostPerS = float64(after-before) / span.Seconds() / float64(b.entries)
	return measured, err
}

// warm offers the load under another seed, so that its request ids are others.
func (b *Bencher) warm(ctx context.Context, targets []string, load scenario.Scenario) error {
	other := load.WithSeed(load.Seed + 1<<32).WithDuration(warmUp)
	_, err := experimenter.New(other, targets, b.clock,
		experimenter.WithSending(sender.WithConnections(connections))).Run(ctx)
	return err
}

// write writes a result to its file.
func (b *Bencher) write(name string, measured result.Result) error {
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

// stop stops the fleet and returns the first failure, that of the measurement before that of the stop.
func stop(running *fleet.Fleet, failure error) error {
	stopped := errors.Wrap(running.Stop(), "stopping the fleet")
	if failure != nil {
		return failure
	}
	return stopped
}

func (b *Bencher) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(b.out, format+"\n", arguments...)
}
