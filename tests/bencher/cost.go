package bencher

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/usage"
)

const (
	bytesPerMegabyte = 1 << 20
	costSettle       = 2 * time.Second
	// costRest is how long the hosts are measured without load.
	costRest = 5 * time.Second
)

// costRates are the loads whose cost is measured, in requests per second over all entry hosts.
var costRates = []float64{100, 500, 1000, 2000}

// expense is what one load has cost.
type expense struct {
	measured result.Result
	settled  usage.Usage
	atRest   usage.Usage
	before   usage.Usage
	after    usage.Usage
	// span is the time from before to after.
	span time.Duration
}

// Cost measures processor time for each request and at rest, and memory at rest and under load, at several rates.
func (b *Bencher) Cost(ctx context.Context) error {
	load, err := b.load("added")
	if err != nil {
		return err
	}
	var all []expense
	for _, rate := range costRates {
		spent, err := b.costRun(ctx, load.WithRate(rate))
		if err != nil {
			return errors.Wrapf(err, "rate %.0f", rate)
		}
		all = append(all, spent)
		if err := b.write(fmt.Sprintf("cost-%.0f", rate), spent.measured); err != nil {
			return err
		}
	}
	return b.costTable(all)
}

func (b *Bencher) costRun(ctx context.Context, load scenario.Scenario) (expense, error) {
	d := deployment.Kite()
	running, err := fleet.Start(ctx, b.bin, d.WithServices(d.Services[0]),
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEndpointArguments("--mean-service-ms", "1"),
	)
	if err != nil {
		return expense{}, err
	}
	spent, err := b.spend(ctx, running, load)
	return spent, stop(running, err)
}

func (b *Bencher) spend(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) (expense, error) {
	var spent expense
	if err := pauser.Pause(ctx, costSettle); err != nil {
		return spent, err
	}
	var err error
	if spent.settled, err = running.Usage(); err != nil {
		return spent, err
	}
	if err = pauser.Pause(ctx, costRest); err != nil {
		return spent, err
	}
	if spent.atRest, err = running.Usage(); err != nil {
		return spent, err
	}
	if err = b.warm(ctx, running.EntryAddresses(), load); err != nil {
		return spent, err
	}
	if spent.before, err = running.Usage(); err != nil {
		return spent, err
	}
	start := b.clock()
	if spent.measured, err = b.measure(ctx, running, load, defaultPolicy); err != nil {
		return spent, err
	}
	spent.span = b.clock().Sub(start)
	spent.after, err = running.Usage()
	return spent, err
}

func (b *Bencher) costTable(all []expense) error {
	table := aligner.New()
	table.Addf("rate_per_s\tserved\tprocessor_us per request\trequests per processor second\t%% of a core per host at rest\tunder load\tMB at rest per host\tMB under load per host\tp99_ms\t")
	hosts := float64(b.entries)
	for _, spent := range all {
		processor := spent.after.Processor - spent.before.Processor
		served := float64(spent.measured.Served)
		resting := spent.atRest.Processor - spent.settled.Processor
		table.Addf("%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t", spent.measured.RatePerS, served,
			float64(processor.Microseconds())/served, served/processor.Seconds(),
			percentOf(resting.Seconds(), costRest.Seconds()*hosts), percentOf(processor.Seconds(), spent.span.Seconds()*hosts),
			float64(spent.atRest.ResidentBytes)/bytesPerMegabyte/hosts, float64(spent.after.ResidentBytes)/bytesPerMegabyte/hosts,
			spent.measured.P99MS)
	}
	b.say("\ncost of %d entry hosts together", b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "cost")
}
