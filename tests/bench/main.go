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
	bin       string
	scenarios string
	results   string
	only      string
	policies  []string
	seeds     []uint64
	entries   int
	duration  time.Duration
	distance  time.Duration
	arguments []string
	// chosen is what the experiment zone runs.
	chosen choice.Choice
	// rate is how many requests a second the experiment zone offers.
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

func (s *settings) parse(given []string) error {
	parser := arguments.New("bench", "measure the policies side by side; results as JSON files and tables",
		"whose deployment --only zone runs, whole: kite or brandstaetter")
	parser.String(&s.scenarios, "", "scenarios", "folder of the scenario files")
	parser.String(&s.results, "", "results", "folder for the result files")
	parser.String(&s.only, "", "only", "one experiment: noisy, zone, added, cost, budget or overload; all when empty")
	parser.StringSlice(&s.policies, "", "policy", "policy to measure; repeat for more (default: owner, two_choices, random)")
	parser.UInt64Slice(&s.seeds, "", "seed", "seed of a run; repeat for more (default: 1, 2, 3)")
	parser.Int(&s.entries, "", "entries", "number of entry hosts")
	parser.Duration(&s.duration, "", "duration", "time of each run in place of its scenario's; 0s keeps it")
	parser.Float64(&s.rate, "", "rate", "requests a second that --only zone offers in place of its scenario's; 0 keeps it")
	parser.Duration(&s.distance, "", "distance", "time that bytes take one way between regions in noisy and zone, whole ms such as 12ms; 0s for none")
	parser.StringSlice(&s.arguments, "", "entry-argument", "argument for every entry host, such as --entry-argument=--hedge-share=0.1; repeat for more")
	if err := parser.Parse(given); err != nil {
		return err
	}
	s.bin, s.chosen = parser.Bin, parser.Choice
	return s.check()
}

// check returns an error for values that are not allowed.
func (s *settings) check() error {
	if s.entries < 1 {
		return errors.Wrapf(arguments.ErrFlag, "--entries: value %d, allowed: 1 or more", s.entries)
	}
	if s.duration < 0 {
		return errors.Wrapf(arguments.ErrFlag, "--duration: value %s, allowed: 0s or more", s.duration)
	}
	if s.chosen.Name != choice.Kite && s.only != "zone" {
		return errors.Wrapf(arguments.ErrFlag, "--deployment: value %q, allowed: %s, or another with --only zone", s.chosen.Name, choice.Kite)
	}
	if s.rate < 0 {
		return errors.Wrapf(arguments.ErrFlag, "--rate: value %v, allowed: 0 or more", s.rate)
	}
	if s.rate > 0 && s.only != "zone" {
		return errors.Wrapf(arguments.ErrFlag, "--rate: value %v, allowed: 0, or another with --only zone", s.rate)
	}
	if s.distance < 0 || s.distance%time.Millisecond != 0 {
		return errors.Wrapf(arguments.ErrFlag, "--distance: value %s, allowed: whole milliseconds, 0s or more", s.distance)
	}
	return nil
}

func run(ctx context.Context, s settings) error {
	options := []bencher.Option{
		bencher.WithEntries(s.entries), bencher.WithDuration(s.duration), bencher.WithEntryArguments(s.arguments...),
		bencher.WithDistance(s.distance), bencher.WithZoneChoice(s.chosen), bencher.WithZoneRate(s.rate),
	}
	if len(s.policies) > 0 {
		options = append(options, bencher.WithPolicies(s.policies...))
	}
	if len(s.seeds) > 0 {
		options = append(options, bencher.WithSeeds(s.seeds...))
	}
	b := bencher.New(s.bin, s.scenarios, s.results, os.Stdout, time.Now, options...)
	switch s.only {
	case "noisy":
		return b.Noisy(ctx)
	case "zone":
		return b.Zone(ctx)
	case "added":
		return b.Added(ctx)
	case "cost":
		return b.Cost(ctx)
	case "budget":
		return b.Budget(ctx)
	case "overload":
		return b.Overload(ctx)
	case "":
		return all(ctx, b)
	default:
		return errors.Wrapf(arguments.ErrFlag, "--only: value %q, allowed: noisy, zone, added, cost, budget, overload", s.only)
	}
}

func all(ctx context.Context, b *bencher.Bencher) error {
	for _, experiment := range []func(context.Context) error{b.Noisy, b.Zone, b.Added, b.Cost, b.Budget, b.Overload} {
		if err := experiment(ctx); err != nil {
			return err
		}
	}
	return nil
}
