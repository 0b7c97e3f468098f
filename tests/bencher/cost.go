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
	// costSettleTime is the time between the start of the fleet and the first measurement.
	costSettleTime = 2 * time.Second
	// costIdleTime is how long the entry hosts are measured without load.
	costIdleTime = 5 * time.Second
)

// costRates are the measured loads, in requests per second over all entry hosts.
var costRates = []float64{100, 500, 1000, 2000}

// costMeasurement is the resource usage of the entry hosts before and under one load.
type costMeasurement struct {
	measured  result.Result
	idleStart usage.Usage
	idleEnd   usage.Usage
	loadStart usage.Usage
	loadEnd   usage.Usage
	// loadDuration is the time from loadStart to loadEnd.
	loadDuration time.Duration
}

// Cost measures the processor time for each request and without load, and the memory without and under load, at
// several rates.
func (b *Bencher) Cost(ctx context.Context) error {
	load, err := b.readScenario("added")
	if err != nil {
		return err
	}
	var measurements []costMeasurement
	for _, rate := range costRates {
		measurement, err := b.runForCost(ctx, load.WithRate(rate))
		if err != nil {
			return errors.Wrapf(err, "rate %.0f", rate)
		}
		measurements = append(measurements, measurement)
		if err := b.writeResult(fmt.Sprintf("cost-%.0f", rate), measurement.measured); err != nil {
			return err
		}
	}
	return b.printCostTable(measurements)
}

func (b *Bencher) runForCost(ctx context.Context, load scenario.Scenario) (costMeasurement, error) {
	d := deployment.Kite()
	running, err := fleet.Start(ctx, b.bin, d.WithServices(d.Services[0]),
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEndpointArguments("--mean-service-ms", "1"),
	)
	if err != nil {
		return costMeasurement{}, err
	}
	measurement, err := b.measureCost(ctx, running, load)
	return measurement, stopFleet(running, err)
}

func (b *Bencher) measureCost(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) (costMeasurement, error) {
	var measurement costMeasurement
	if err := pauser.Pause(ctx, costSettleTime); err != nil {
		return measurement, err
	}
	var err error
	if measurement.idleStart, err = running.Usage(); err != nil {
		return measurement, err
	}
	if err = pauser.Pause(ctx, costIdleTime); err != nil {
		return measurement, err
	}
	if measurement.idleEnd, err = running.Usage(); err != nil {
		return measurement, err
	}
	if err = b.warmUp(ctx, running.EntryAddresses(), load); err != nil {
		return measurement, err
	}
	if measurement.loadStart, err = running.Usage(); err != nil {
		return measurement, err
	}
	start := b.clock()
	if measurement.measured, err = b.measure(ctx, running, load, defaultPolicy); err != nil {
		return measurement, err
	}
	measurement.loadDuration = b.clock().Sub(start)
	measurement.loadEnd, err = running.Usage()
	return measurement, err
}

func (b *Bencher) printCostTable(measurements []costMeasurement) error {
	table := aligner.New()
	table.Addf("rate_per_s\tserved\tprocessor_us per request\trequests per processor second\t%% of a core per host at rest\tunder load\tMB at rest per host\tMB under load per host\tp99_ms\t")
	hosts := float64(b.entries)
	for _, measurement := range measurements {
		processor := measurement.loadEnd.ProcessorTime - measurement.loadStart.ProcessorTime
		served := float64(measurement.measured.Served)
		idle := measurement.idleEnd.ProcessorTime - measurement.idleStart.ProcessorTime
		table.Addf("%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t", measurement.measured.RatePerS, served,
			float64(processor.Microseconds())/served, served/processor.Seconds(),
			percentFloat(idle.Seconds(), costIdleTime.Seconds()*hosts), percentFloat(processor.Seconds(), measurement.loadDuration.Seconds()*hosts),
			float64(measurement.idleEnd.ResidentBytes)/bytesPerMegabyte/hosts, float64(measurement.loadEnd.ResidentBytes)/bytesPerMegabyte/hosts,
			measurement.measured.P99MS)
	}
	b.printf("\ncost of %d entry hosts together", b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "cost")
}
