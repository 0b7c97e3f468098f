package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/tests/bencher"
)

var errFlag = errors.New("invalid flag")

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
}

func main() {
	s := settings{bin: "bin", scenarios: "poplarbench/scenarios", results: "out/bench", entries: 6}
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

func (s *settings) parse(arguments []string) error {
	parser := flaggy.NewParser("bench")
	parser.Description = "measure the policies side by side; results as JSON files and tables"
	parser.DisableShowVersionWithVersion()
	parser.String(&s.bin, "", "bin", "folder of the built programs")
	parser.String(&s.scenarios, "", "scenarios", "folder of the scenario files")
	parser.String(&s.results, "", "results", "folder for the result files")
	parser.String(&s.only, "", "only", "one experiment: noisy, zone, added, cost, budget or overload; all when empty")
	parser.StringSlice(&s.policies, "", "policy", "policy to measure; repeat for more (default: owner, two_choices, random)")
	parser.UInt64Slice(&s.seeds, "", "seed", "seed of a run; repeat for more (default: 1, 2, 3)")
	parser.Int(&s.entries, "", "entries", "number of entry hosts")
	parser.Duration(&s.duration, "", "duration", "time of each run in place of its scenario's; 0s keeps it")
	parser.Duration(&s.distance, "", "distance", "time that bytes take one way between regions in noisy and zone, whole ms such as 12ms; 0s for none")
	parser.StringSlice(&s.arguments, "", "entry-argument", "argument for every entry host, such as --entry-argument=--hedge-share=0.1; repeat for more")
	if err := parser.ParseArgs(arguments); err != nil {
		return errors.Wrap(err, "reading the arguments")
	}
	if s.entries < 1 {
		return errors.Wrapf(errFlag, "--entries: value %d, allowed: 1 or more", s.entries)
	}
	if s.duration < 0 {
		return errors.Wrapf(errFlag, "--duration: value %s, allowed: 0s or more", s.duration)
	}
	if s.distance < 0 || s.distance%time.Millisecond != 0 {
		return errors.Wrapf(errFlag, "--distance: value %s, allowed: whole milliseconds, 0s or more", s.distance)
	}
	return nil
}

func run(ctx context.Context, s settings) error {
	bin, err := filepath.Abs(s.bin)
	if err != nil {
		return errors.Wrap(err, "--bin")
	}
	options := []bencher.Option{
		bencher.WithEntries(s.entries), bencher.WithDuration(s.duration),
		bencher.WithDistance(s.distance), bencher.WithEntryArguments(s.arguments...),
	}
	if len(s.policies) > 0 {
		options = append(options, bencher.WithPolicies(s.policies...))
	}
	if len(s.seeds) > 0 {
		options = append(options, bencher.WithSeeds(s.seeds...))
	}
	b := bencher.New(bin, s.scenarios, s.results, os.Stdout, time.Now, options...)
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
		return errors.Wrapf(errFlag, "--only: value %q, allowed: noisy, zone, added, cost, budget, overload", s.only)
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
