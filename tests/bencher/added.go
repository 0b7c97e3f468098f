package bencher

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/spread"
)

const direct = "direct"

// Added measures the time that an entry host adds: the same load straight at the endpoints and through the entry hosts.
func (b *Bencher) Added(ctx context.Context) error {
	load, err := b.load("added")
	if err != nil {
		return err
	}
	d := deployment.Kite()
	running, err := fleet.Start(ctx, b.bin, d.WithServices(d.Services[0]),
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEndpointArguments("--mean-service-ms", "0"),
	)
	if err != nil {
		return err
	}
	return stop(running, b.addedRuns(ctx, running, load))
}

func (b *Bencher) addedRuns(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) error {
	var endpoints []string
	for _, endpoint := range running.Endpoints() {
		endpoints = append(endpoints, endpoint.Address)
	}
	targets := map[string][]string{direct: endpoints, defaultPolicy: running.EntryAddresses()}
	all := make(map[string][]result.Result)
	for _, addresses := range targets {
		if err := b.warm(ctx, addresses, load); err != nil {
			return err
		}
	}
	for _, seed := range b.seeds {
		for _, label := range []string{direct, defaultPolicy} {
			measured, err := experimenter.New(load.WithSeed(seed), targets[label], b.clock, experimenter.WithLabel(label)).Run(ctx)
			if err != nil {
				return err
			}
			all[label] = append(all[label], measured)
			if err := b.write(fmt.Sprintf("added-%s-%d", label, seed), measured); err != nil {
				return err
			}
		}
	}
	return b.addedTable(all[direct], all[defaultPolicy])
}

func (b *Bencher) addedTable(straight, through []result.Result) error {
	table := aligner.New()
	table.Addf("\tp50_ms\tp99_ms\tserved\t")
	var p50, p99 []float64
	for i := range straight {
		table.Addf("direct, seed %d\t%.2f\t%.2f\t%d\t", straight[i].Seed, straight[i].P50MS, straight[i].P99MS, straight[i].Served)
		table.Addf("through, seed %d\t%.2f\t%.2f\t%d\t", through[i].Seed, through[i].P50MS, through[i].P99MS, through[i].Served)
		p50 = append(p50, through[i].P50MS-straight[i].P50MS)
		p99 = append(p99, through[i].P99MS-straight[i].P99MS)
	}
	middle50, middle99 := spread.New(p50...), spread.New(p99...)
	table.Addf("added\t%.2f [%.2f-%.2f]\t%.2f [%.2f-%.2f]\t\t", middle50.Middle, middle50.Lowest, middle50.Highest,
		middle99.Middle, middle99.Lowest, middle99.Highest)
	b.say("\ntime added by an entry host")
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "added")
}
