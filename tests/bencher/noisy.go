package bencher

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/oracle"
	"poplarhook.example/tests/spread"
)

// noisyEndpointArguments give endpoints a mean service time of 4 ms, which is six times longer in slow spells of 20 to
// 60 ms that start about every 400 ms.
var noisyEndpointArguments = []string{
	"--mean-service-ms", "4", "--spell-factor", "6", "--spell-length-ms", "40", "--spell-interval-ms", "400",
}

const millisPerSecond = 1000

// Labels of the results of the oracle model, which knows the queue of every endpoint.
const (
	oracleRegion     = "oracle (model), own region"
	oracleAllRegions = "oracle (model), all regions"
)

// NoisyEndpoints measures the tail latency of fabric lookups at endpoints with slow spells for each policy and seed.
func (b *Bencher) NoisyEndpoints(ctx context.Context) error {
	load, err := b.readScenario("noisy")
	if err != nil {
		return err
	}
	var results []result.Result
	err = b.forEachRun(func(seed uint64, policy string) error {
		measured, err := b.runNoisyEndpoints(ctx, load.WithSeed(seed), policy)
		if err != nil {
			return err
		}
		results = append(results, measured)
		b.printf("noisy %s seed %d: p50 %.1f ms, p99 %.1f ms, served %d of %d", policy, seed, measured.P50MS, measured.P99MS, measured.Served, measured.Sent)
		return b.writeResult(fmt.Sprintf("noisy-%s-%d", policy, seed), measured)
	})
	if err != nil {
		return err
	}
	oracleResults, err := b.runOracles(load)
	if err != nil {
		return err
	}
	return b.printNoisyTable(slices.Concat(b.policies, []string{oracleRegion, oracleAllRegions}), append(results, oracleResults...))
}

// fabricStockDeployment returns the deployment with only the fabric stock service, because the other services get no
// load.
func fabricStockDeployment() deployment.Deployment {
	d := deployment.Brandstaetter()
	return d.WithServices(d.Services[0])
}

// runOracles returns the results of the oracle model for the same loads.
func (b *Bencher) runOracles(load scenario.Scenario) ([]result.Result, error) {
	var results []result.Result
	for _, seed := range b.seeds {
		ownRegion, err := oracle.New(fabricStockDeployment(), b.entries).Run(load.WithSeed(seed), oracleRegion)
		if err != nil {
			return nil, err
		}
		allRegions, err := oracle.New(fabricStockDeployment(), b.entries, oracle.WithAllRegions()).Run(load.WithSeed(seed), oracleAllRegions)
		if err != nil {
			return nil, err
		}
		results = append(results, ownRegion, allRegions)
	}
	return results, nil
}

func (b *Bencher) runNoisyEndpoints(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStockDeployment(),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(policy),
		fleet.WithRegionDelay(b.regionDelay),
		fleet.WithEndpointArguments(noisyEndpointArguments...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	measured, err := b.warmUpAndMeasure(ctx, running, load, policy)
	if err == nil {
		err = b.printCounters(ctx, running)
	}
	return measured, stopFleet(running, err)
}

// diagnosticCounters are the counters that help to explain a high tail latency or a refused request.
var diagnosticCounters = []string{
	"hedge_sent", "hedge_denied", "retry_sent", "spilled", "bound_alone", "alone_denied", "bind_refused", "bind_expired",
	"control_sent_demand", "control_sent_credit", "control_sent_cold_credit", "control_sent_release", "control_sent_recall",
	"control_sent_sighting", "control_sent_holding",
	"control_unsent_demand", "control_unsent_credit", "control_unsent_cold_credit", "control_unsent_release",
	"control_unsent_recall", "control_unsent_sighting", "control_unsent_holding",
	"control_overspent_bytes_total", "owned_endpoints_cold",
}

// printCounters prints the diagnostic counters that are above zero, counted since the start of the entry hosts.
func (b *Bencher) printCounters(ctx context.Context, running *fleet.Fleet) error {
	for _, name := range diagnosticCounters {
		count, err := sumCounter(ctx, running, metricPrefix+name)
		if err != nil {
			return err
		}
		if count > 0 {
			b.printf("  %s %d", name, count)
		}
	}
	return nil
}

func (b *Bencher) printNoisyTable(policies []string, results []result.Result) error {
	table := aligner.New()
	table.Addf("policy\tp50_ms\tp99_ms\tp99_9_ms\tserved_%%\tnot_run\tunknown+broken\textra_%%\tcontrol B/s per host\tlate_sends\t")
	for _, policy := range policies {
		var p50, p99, p999, served, notRun, unknown, extra, control, late []float64
		for _, r := range results {
			if r.Label != policy {
				continue
			}
			p50 = append(p50, r.P50MS)
			p99 = append(p99, r.P99MS)
			p999 = append(p999, r.P999MS)
			served = append(served, percent(r.Served, r.Sent))
			notRun = append(notRun, float64(r.NotRun))
			unknown = append(unknown, float64(r.Unknown+r.Broken))
			extra = append(extra, percent(r.ExtraExecutions, r.Sent))
			control = append(control, r.ControlBytesPerHostPerS)
			late = append(late, float64(r.LateSends))
		}
		table.Addf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", policy, spread.New(p50...), spread.New(p99...), spread.New(p999...),
			spread.New(served...), spread.New(notRun...), spread.New(unknown...), spread.New(extra...),
			spread.New(control...), spread.New(late...))
	}
	b.printf("\nnoisy endpoints: middle [lowest-highest] of %d seeds, %d entry hosts", len(b.seeds), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "noisy")
}

func percent(part, whole int64) float64 {
	return percentFloat(float64(part), float64(whole))
}

func percentFloat(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
