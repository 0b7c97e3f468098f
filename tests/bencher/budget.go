package bencher

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/spread"
)

// controlBudgets are what each entry host may send for control, in bytes per second.
var controlBudgets = []int{512, 1024, 2048, 5120, 20480, 65536}

// thrift is what the run under one control budget has shown.
type thrift struct {
	budget   int
	measured result.Result
	refused  float64
	alone    float64
	hold     []float64
}

// Budget measures the tail of fabric lookups under noisy endpoints as a function of the control budget.
func (b *Bencher) Budget(ctx context.Context) error {
	load, err := b.load("noisy")
	if err != nil {
		return err
	}
	var all []thrift
	for _, seed := range b.seeds {
		for _, budget := range controlBudgets {
			seen, err := b.budgetRun(ctx, load.WithSeed(seed), budget)
			if err != nil {
				return errors.Wrapf(err, "budget %d, seed %d", budget, seed)
			}
			all = append(all, seen)
			if err := b.write(fmt.Sprintf("budget-%d-%d", budget, seed), seen.measured); err != nil {
				return err
			}
		}
	}
	return b.budgetTable(all)
}

func (b *Bencher) budgetRun(ctx context.Context, load scenario.Scenario, budget int) (thrift, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStock(),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithEntryArguments("--control-budget", fmt.Sprint(budget)),
		fleet.WithEndpointArguments(noisyEndpoints...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return thrift{}, err
	}
	seen, err := b.thriftOf(ctx, running, load)
	seen.budget = budget
	return seen, stop(running, err)
}

func (b *Bencher) thriftOf(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) (thrift, error) {
	var seen thrift
	if err := b.warm(ctx, running.EntryAddresses(), load); err != nil {
		return seen, err
	}
	refused, _, err := spendings(ctx, running)
	if err != nil {
		return seen, err
	}
	alone, err := counted(ctx, running, aloneMetric)
	if err != nil {
		return seen, err
	}
	if seen.measured, err = b.measure(ctx, running, load, defaultPolicy); err != nil {
		return seen, err
	}
	refusedAfter, hold, err := spendings(ctx, running)
	if err != nil {
		return seen, err
	}
	aloneAfter, err := counted(ctx, running, aloneMetric)
	seen.refused = float64(refusedAfter - refused)
	seen.alone = float64(aloneAfter - alone)
	seen.hold = hold
	return seen, err
}

// spendings returns the refused messages of all entry hosts and the hold of each, in milliseconds.
func spendings(ctx context.Context, running *fleet.Fleet) (refused uint64, hold []float64, err error) {
	states, err := controlStates(ctx, running)
	for _, dumped := range states {
		refused += dumped.Spending.RefusedMessages
		hold = append(hold, float64(dumped.Spending.Hold)/float64(time.Millisecond))
	}
	return refused, hold, err
}

func (b *Bencher) budgetTable(all []thrift) error {
	table := aligner.New()
	table.Addf("budget B/s\tcontrol B/s per host\tp50_ms\tp99_ms\tp99_9_ms\tserved_%%\tnot_run\tunknown+broken\trefused_messages\tbound_alone_%%\thold_ms at the end\t")
	for _, budget := range controlBudgets {
		var control, p50, p99, p999, served, notRun, unknown, refused, alone, hold []float64
		for _, seen := range all {
			if seen.budget != budget {
				continue
			}
			r := seen.measured
			control = append(control, r.ControlBytesPerHostPerS)
			p50 = append(p50, r.P50MS)
			p99 = append(p99, r.P99MS)
			p999 = append(p999, r.P999MS)
			served = append(served, percent(r.Served, r.Sent))
			notRun = append(notRun, float64(r.NotRun))
			unknown = append(unknown, float64(r.Unknown+r.Broken))
			refused = append(refused, seen.refused)
			alone = append(alone, percent(int64(seen.alone), r.Sent))
			hold = append(hold, seen.hold...)
		}
		table.Addf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", budget, spread.New(control...), spread.New(p50...),
			spread.New(p99...), spread.New(p999...), spread.New(served...), spread.New(notRun...), spread.New(unknown...),
			spread.New(refused...), spread.New(alone...), spread.New(hold...))
	}
	b.say("\ncontrol budget: middle [lowest-highest] of %d seeds, %d entry hosts", len(b.seeds), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "budget")
}
