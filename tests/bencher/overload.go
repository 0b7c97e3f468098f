package bencher

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/spread"
)

// overloadCapacity is what the stock service's 12 servers of 2 slots and 20 ms of work can answer in a second.
const overloadCapacity = 1200

// overloadFactors multiply that capacity.
var overloadFactors = []float64{0.6, 1, 2, 3}

// overloadEndpoints have even work, so that capacity is a plain number.
var overloadEndpoints = []string{"--mean-service-ms", "20"}

// Overload measures goodput and refusals when the group is offered more than it can carry.
func (b *Bencher) Overload(ctx context.Context) error {
	load, err := b.load("overload")
	if err != nil {
		return err
	}
	table := aligner.New()
	table.Addf("policy\toffered / capacity\tgoodput_%% of capacity\tp99_ms\tnot_run_%%\tunknown+broken\tfalse_not_run\textra_%%\trefusal p50_ms\trefusal p99_ms\t")
	for _, factor := range overloadFactors {
		runs := make(map[string][]result.Result)
		err := b.each(func(seed uint64, policy string) error {
			measured, err := b.overloadRun(ctx, load.WithSeed(seed).WithRate(factor*overloadCapacity), policy)
			runs[policy] = append(runs[policy], measured)
			if err != nil {
				return err
			}
			return b.write(fmt.Sprintf("overload-%.1f-%s-%d", factor, policy, seed), measured)
		})
		if err != nil {
			return err
		}
		for _, policy := range b.policies {
			overloadRow(table, runs[policy], policy, factor)
		}
	}
	b.say("\noverload: middle [lowest-highest] of %d seeds, %d entry hosts, deadline %s", len(b.seeds), b.entries, load.Mix[0].Deadline())
	_, err = table.WriteTo(b.out)
	return errors.Wrap(err, "overload")
}

func (b *Bencher) overloadRun(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStock(),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(policy),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithEndpointArguments(overloadEndpoints...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	measured, err := b.offer(ctx, running, load, policy)
	return measured, stop(running, err)
}

func overloadRow(table *aligner.Aligner, all []result.Result, policy string, factor float64) {
	var goodput, p99, notRun, unknown, untrue, extra, refusal50, refusal99 []float64
	for _, r := range all {
		goodput = append(goodput, goodputOf(r))
		p99 = append(p99, r.P99MS)
		notRun = append(notRun, percent(r.NotRun, r.Sent))
		unknown = append(unknown, float64(r.Unknown+r.Broken))
		untrue = append(untrue, float64(r.FalseNotRun))
		extra = append(extra, percent(r.ExtraExecutions, r.Sent))
		refusal50 = append(refusal50, r.RefusalP50MS)
		refusal99 = append(refusal99, r.RefusalP99MS)
	}
	table.Addf("%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", policy, factor, spread.New(goodput...), spread.New(p99...), spread.New(notRun...),
		spread.New(unknown...), spread.New(untrue...), spread.New(extra...), spread.New(refusal50...), spread.New(refusal99...))
}

// goodputOf returns what was served in % of capacity, of the requests sent after the first second and before the last.
//
// The last second's requests could be served after the load has ended.
func goodputOf(r result.Result) float64 {
	var served, seconds int64
	for _, window := range r.Windows {
		if window.Second > 0 && (window.Second+2)*millisPerSecond <= r.DurationMS {
			served += window.Served
			seconds++
		}
	}
	return percent(served, seconds*overloadCapacity)
}
