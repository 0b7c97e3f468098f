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

// noisyEndpoints have 4 ms of work and are six times slower in spells of 20 to 60 ms about every 400 ms.
var noisyEndpoints = []string{
	"--mean-service-ms", "4", "--spell-factor", "6", "--spell-length-ms", "40", "--spell-interval-ms", "400",
}

const millisPerSecond = 1000

// Labels of the models that know every true queue.
const (
	oracleRegion     = "oracle (model), own region"
	oracleEverywhere = "oracle (model), all regions"
)

// Noisy measures the tail of fabric lookups under noisy endpoints for each policy and seed.
func (b *Bencher) Noisy(ctx context.Context) error {
	load, err := b.load("noisy")
	if err != nil {
		return err
	}
	var all []result.Result
	err = b.each(func(seed uint64, policy string) error {
		measured, err := b.noisyRun(ctx, load.WithSeed(seed), policy)
		if err != nil {
			return err
		}
		all = append(all, measured)
		b.say("noisy %s seed %d: p50 %.1f ms, p99 %.1f ms, served %d of %d", policy, seed, measured.P50MS, measured.P99MS, measured.Served, measured.Sent)
		return b.write(fmt.Sprintf("noisy-%s-%d", policy, seed), measured)
	})
	if err != nil {
		return err
	}
	bounds, err := b.oracles(load)
	if err != nil {
		return err
	}
	return b.noisyTable(slices.Concat(b.policies, []string{oracleRegion, oracleEverywhere}), append(all, bounds...))
}

// fabricStock is the deployment with the stock service only, as the others get no load.
func fabricStock() deployment.Deployment {
	d := deployment.Brandstaetter()
	return d.WithServices(d.Services[0])
}

// oracles models the same loads under the policy that knows every true queue.
func (b *Bencher) oracles(load scenario.Scenario) ([]result.Result, error) {
	var all []result.Result
	for _, seed := range b.seeds {
		region, err := oracle.New(fabricStock(), b.entries).Run(load.WithSeed(seed), oracleRegion)
		if err != nil {
			return nil, err
		}
		everywhere, err := oracle.New(fabricStock(), b.entries, oracle.WithEverywhere()).Run(load.WithSeed(seed), oracleEverywhere)
		if err != nil {
			return nil, err
		}
		all = append(all, region, everywhere)
	}
	return all, nil
}

func (b *Bencher) noisyRun(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStock(),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(policy),
		fleet.WithDistance(b.distance),
		fleet.WithEndpointArguments(noisyEndpoints...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	measured, err := b.offer(ctx, running, load, policy)
	if err == nil {
		err = b.sayCounters(ctx, running)
	}
	return measured, stop(running, err)
}

// explaining are the counters that explain a tail or a refusal.
var explaining = []string{
	"hedge_sent", "hedge_denied", "retry_sent", "spilled", "bound_alone", "alone_denied", "bind_refused", "bind_expired",
	"control_sent_demand", "control_sent_credit", "control_sent_cold_credit", "control_sent_release", "control_sent_recall",
	"control_sent_sighting", "control_sent_holding",
	"control_unsent_demand", "control_unsent_credit", "control_unsent_cold_credit", "control_unsent_release",
	"control_unsent_recall", "control_unsent_sighting", "control_unsent_holding",
	"control_overspent_bytes_total", "owned_endpoints_cold",
}

// sayCounters tells what explains a tail, counted since the start of the entry hosts.
func (b *Bencher) sayCounters(ctx context.Context, running *fleet.Fleet) error {
	for _, name := range explaining {
		count, err := counted(ctx, running, metricPrefix+name)
		if err != nil {
			return err
		}
		if count > 0 {
			b.say("  %s %d", name, count)
		}
	}
	return nil
}

func (b *Bencher) noisyTable(policies []string, all []result.Result) error {
	table := aligner.New()
	table.Addf("policy\tp50_ms\tp99_ms\tp99_9_ms\tserved_%%\tnot_run\tunknown+broken\textra_%%\tcontrol B/s per host\tlate_sends\t")
	for _, policy := range policies {
		var p50, p99, p999, served, notRun, unknown, extra, control, late []float64
		for _, r := range all {
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
	b.say("\nnoisy endpoints: middle [lowest-highest] of %d seeds, %d entry hosts", len(b.seeds), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "noisy")
}

func percent(part, whole int64) float64 {
	return percentOf(float64(part), float64(whole))
}

func percentOf(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
