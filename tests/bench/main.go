package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/tests/arguments"
	"poplarhook.example/tests/bencher"
	"poplarhook.example/tests/choice"
)

type settings struct {
	bin            string
	scenarios      string
	results        string
	experiment     string
	policies       []string
	seeds          []uint64
	entries        int
	duration       time.Duration
	regionDelay    time.Duration
	entryArguments []string
	// zoneChoice is the deployment and the load of the zone experiment.
	zoneChoice choice.Choice
	// rate is the load of the zone experiment in requests per second; 0 keeps the rate of the scenario.
	rate float64
}

func main() {
	s := settings{scenarios: "poplarbench/scenarios", results: "out/bench", entries: 6}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := s.parse(os.Args[1:])
	if err == nil {
		err = run(ctx, s)
	}
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func (s *settings) parse(commandLine []string) error {
	parser := arguments.New("bench", "compare the policies by measurement; results as JSON files and tables",
		"complete deployment that --only zone runs: kite or brandstaetter")
	parser.String(&s.scenarios, "", "scenarios", "folder of the scenario files")
	parser.String(&s.results, "", "results", "folder for the result files")
	parser.String(&s.experiment, "", "only", "one experiment: noisy, zone, added, cost, budget or overload; all when empty")
	parser.StringSlice(&s.policies, "", "policy", "policy to measure; repeat for more (default: owner, two_choices, random)")
	parser.UInt64Slice(&s.seeds, "", "seed", "seed of a run; repeat for more (default: 1, 2, 3)")
	parser.Int(&s.entries, "", "entries", "number of entry hosts")
	parser.Duration(&s.duration, "", "duration", "duration of each run; 0s keeps the duration of its scenario")
	parser.Float64(&s.rate, "", "rate", "requests per second that --only zone offers; 0 keeps the rate of its scenario")
	parser.Duration(&s.regionDelay, "", "distance", "one-way network delay between regions in noisy and zone, whole ms such as 12ms; 0s for none")
	parser.StringSlice(&s.entryArguments, "", "entry-argument", "argument for every entry host, such as --entry-argument=--hedge-share=0.1; repeat for more")
	if err := parser.Parse(commandLine); err != nil {
		return err
	}
	s.bin, s.zoneChoice = parser.Bin, parser.Choice
	return s.checkFlags()
}

// checkFlags returns an error for values that are not allowed.
func (s *settings) checkFlags() error {
	if s.entries < 1 {
		return errors.Wrapf(arguments.ErrFlag, "--entries: value %d, allowed: 1 or more", s.entries)
	}
	if s.duration < 0 {
		return errors.Wrapf(arguments.ErrFlag, "--duration: value %s, allowed: 0s or more", s.duration)
	}
	if s.zoneChoice.Name != choice.Kite && s.experiment != "zone" {
		return errors.Wrapf(arguments.ErrFlag, "--deployment: value %q, allowed: %s, or another with --only zone", s.zoneChoice.Name, choice.Kite)
	}
	if s.rate < 0 {
		return errors.Wrapf(arguments.ErrFlag, "--rate: value %v, allowed: 0 or more", s.rate)
	}
	if s.rate > 0 && s.experiment != "zone" {
		return errors.Wrapf(arguments.ErrFlag, "--rate: value %v, allowed: 0, or another with --only zone", s.rate)
	}
	if s.regionDelay < 0 || s.regionDelay%time.Millisecond != 0 {
		return errors.Wrapf(arguments.ErrFlag, "--distance: value %s, allowed: whole milliseconds, 0s or more", s.regionDelay)
	}
	return nil
}

func run(ctx context.Context, s settings) error {
	options := []bencher.Option{
		bencher.WithEntries(s.entries), bencher.WithDuration(s.duration), bencher.WithEntryArguments(s.entryArguments...),
		bencher.WithRegionDelay(s.regionDelay), bencher.WithZoneChoice(s.zoneChoice), bencher.WithZoneRate(s.rate),
	}
	if len(s.policies) > 0 {
		options = append(options, bencher.WithPolicies(s.policies...))
	}
	if len(s.seeds) > 0 {
		options = append(options, bencher.WithSeeds(s.seeds...))
	}
	b := bencher.New(s.bin, s.scenarios, s.results, os.Stdout, time.Now, options...)
	switch s.experiment {
	case "noisy":
		return b.NoisyEndpoints(ctx)
	case "zone":
		return b.ZoneOutage(ctx)
	case "added":
		return b.AddedLatency(ctx)
	case "cost":
		return b.Cost(ctx)
	case "budget":
		return b.ControlBudget(ctx)
	case "overload":
		return b.Overload(ctx)
	case "":
		return runAll(ctx, b)
	default:
		return errors.Wrapf(arguments.ErrFlag, "--only: value %q, allowed: noisy, zone, added, cost, budget, overload", s.experiment)
	}
}

func runAll(ctx context.Context, b *bencher.Bencher) error {
	for _, experiment := range []func(context.Context) error{b.NoisyEndpoints, b.ZoneOutage, b.AddedLatency, b.Cost, b.ControlBudget, b.Overload} {
		if err := experiment(ctx); err != nil {
			return err
		}
	}
	return nil
}
