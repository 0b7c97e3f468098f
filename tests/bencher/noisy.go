package bencher

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/spread"
)

// noisyEndpoints have 4 ms of work and are six times slower in spells of 20 to 60 ms about every 400 ms.
var noisyEndpoints = []string{
	"--mean-service-ms", "4", "--spell-factor", "6", "--spell-length-ms", "40", "--spell-interval-ms", "400",
}

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
	return b.noisyTable(all)
}

func (b *Bencher) noisyRun(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	d := deployment.Brandstaetter()
	// The other services get no load, so only the stock service runs.
	d = d.WithServices(d.Services[0])
	running, err := fleet.Start(ctx, b.bin, d,
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(policy),
		fleet.WithEndpointArguments(noisyEndpoints...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	measured, err := b.offer(ctx, running, load, policy)
	return measured, stop(running, err)
}

func (b *Bencher) noisyTable(all []result.Result) error {
	table := aligner.New()
	table.Addf("policy\tp50_ms\tp99_ms\tp99_9_ms\tserved_%%\tnot_run\tunknown+broken\textra_%%\tcontrol B/s per host\tlate_sends\t")
	for _, policy := range b.policies {
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
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
