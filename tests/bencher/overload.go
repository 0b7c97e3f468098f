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

// overloadCapacity is the capacity of the fabric stock service in requests per second: 12 servers with 2 slots each
// and a service time of 20 ms.
const overloadCapacity = 1200

// overloadFactors are the offered loads as multiples of overloadCapacity.
var overloadFactors = []float64{0.6, 1, 2, 3}

// overloadEndpointArguments set only the mean service time, without slow spells, so that the capacity is constant.
var overloadEndpointArguments = []string{"--mean-service-ms", "20"}

// Overload measures goodput and refusals at loads up to and above the capacity of the group.
func (b *Bencher) Overload(ctx context.Context) error {
	load, err := b.readScenario("overload")
	if err != nil {
		return err
	}
	table := aligner.New()
	table.Addf("policy\toffered / capacity\tgoodput_%% of capacity\tp99_ms\tnot_run_%%\tunknown+broken\tfalse_not_run\textra_%%\trefusal p50_ms\trefusal p99_ms\t")
	for _, factor := range overloadFactors {
		runs := make(map[string][]result.Result)
		err := b.forEachRun(func(seed uint64, policy string) error {
			measured, err := b.runOverload(ctx, load.WithSeed(seed).WithRate(factor*overloadCapacity), policy)
			runs[policy] = append(runs[policy], measured)
			if err != nil {
				return err
			}
			return b.writeResult(fmt.Sprintf("overload-%.1f-%s-%d", factor, policy, seed), measured)
		})
		if err != nil {
			return err
		}
		for _, policy := range b.policies {
			addOverloadRow(table, runs[policy], policy, factor)
		}
	}
	b.printf("\noverload: middle [lowest-highest] of %d seeds, %d entry hosts, deadline %s", len(b.seeds), b.entries, load.Mix[0].Deadline())
	_, err = table.WriteTo(b.out)
	return errors.Wrap(err, "overload")
}

func (b *Bencher) runOverload(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStockDeployment(),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(policy),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithEndpointArguments(overloadEndpointArguments...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	measured, err := b.warmUpAndMeasure(ctx, running, load, policy)
	return measured, stopFleet(running, err)
}

func addOverloadRow(table *aligner.Aligner, results []result.Result, policy string, factor float64) {
	var goodput, p99, notRun, unknown, falseNotRun, extra, refusal50, refusal99 []float64
	for _, r := range results {
		goodput = append(goodput, goodputPercent(r))
		p99 = append(p99, r.P99MS)
		notRun = append(notRun, percent(r.NotRun, r.Sent))
		unknown = append(unknown, float64(r.Unknown+r.Broken))
		falseNotRun = append(falseNotRun, float64(r.FalseNotRun))
		extra = append(extra, percent(r.ExtraExecutions, r.Sent))
		refusal50 = append(refusal50, r.RefusalP50MS)
		refusal99 = append(refusal99, r.RefusalP99MS)
	}
	table.Addf("%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", policy, factor, spread.New(goodput...), spread.New(p99...), spread.New(notRun...),
		spread.New(unknown...), spread.New(falseNotRun...), spread.New(extra...), spread.New(refusal50...), spread.New(refusal99...))
}

// goodputPercent returns the rate of served requests as a percentage of the capacity, from the windows of the run
// except those of its first and last second.
//
// Requests that were sent in the last second could be served after the end of the load.
func goodputPercent(r result.Result) float64 {
	var served, seconds int64
	for _, window := range r.Windows {
		if window.Second > 0 && (window.Second+2)*millisPerSecond <= r.DurationMS {
			served += window.Served
			seconds++
		}
	}
	return percent(served, seconds*overloadCapacity)
}
