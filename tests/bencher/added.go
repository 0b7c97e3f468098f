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

// directLabel is the label of the runs that send the load directly to the endpoints.
const directLabel = "direct"

// AddedLatency measures the latency that an entry host adds, by sending the same load directly to the endpoints and
// through the entry hosts.
func (b *Bencher) AddedLatency(ctx context.Context) error {
	load, err := b.readScenario("added")
	if err != nil {
		return err
	}
	d := deployment.Kite()
	running, err := fleet.Start(ctx, b.bin, d.WithServices(d.Services[0]),
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEndpointArguments("--mean-service-ms", "0"),
	)
	if err != nil {
		return err
	}
	return stopFleet(running, b.measureAddedLatency(ctx, running, load))
}

// measureAddedLatency warms up the endpoints and the entry hosts, and measures the load sent to each of them.
func (b *Bencher) measureAddedLatency(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) error {
	var endpoints []string
	for _, endpoint := range running.Endpoints() {
		endpoints = append(endpoints, endpoint.Address)
	}
	targets := map[string][]string{directLabel: endpoints, defaultPolicy: running.EntryAddresses()}
	results := make(map[string][]result.Result)
	for _, addresses := range targets {
		if err := b.warmUp(ctx, addresses, load); err != nil {
			return err
		}
	}
	for _, seed := range b.seeds {
		for _, label := range []string{directLabel, defaultPolicy} {
			measured, err := experimenter.New(load.WithSeed(seed), targets[label], b.clock, experimenter.WithLabel(label)).Run(ctx)
			if err != nil {
				return err
			}
			results[label] = append(results[label], measured)
			if err := b.writeResult(fmt.Sprintf("added-%s-%d", label, seed), measured); err != nil {
				return err
			}
		}
	}
	return b.printAddedTable(results[directLabel], results[defaultPolicy])
}

func (b *Bencher) printAddedTable(directRuns, entryRuns []result.Result) error {
	table := aligner.New()
	table.Addf("\tp50_ms\tp99_ms\tserved\t")
	var p50, p99 []float64
	for i := range directRuns {
		table.Addf("direct, seed %d\t%.2f\t%.2f\t%d\t", directRuns[i].Seed, directRuns[i].P50MS, directRuns[i].P99MS, directRuns[i].Served)
		table.Addf("through, seed %d\t%.2f\t%.2f\t%d\t", entryRuns[i].Seed, entryRuns[i].P50MS, entryRuns[i].P99MS, entryRuns[i].Served)
		p50 = append(p50, entryRuns[i].P50MS-directRuns[i].P50MS)
		p99 = append(p99, entryRuns[i].P99MS-directRuns[i].P99MS)
	}
	added50, added99 := spread.New(p50...), spread.New(p99...)
	table.Addf("added\t%.2f [%.2f-%.2f]\t%.2f [%.2f-%.2f]\t\t", added50.Middle, added50.Lowest, added50.Highest,
		added99.Middle, added99.Lowest, added99.Highest)
	b.printf("\ntime added by an entry host")
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "added")
}
