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

// controlBudgets are the measured limits of an entry host's control traffic, in bytes per second.
var controlBudgets = []int{512, 1024, 2048, 5120, 20480, 65536}

// budgetMeasurement is the result of one run with a control budget.
type budgetMeasurement struct {
	budget          int
	measured        result.Result
	refusedMessages float64
	boundLocally    float64
	holdTimesMS     []float64
}

// ControlBudget measures the tail latency of fabric lookups at noisy endpoints as a function of the control budget.
func (b *Bencher) ControlBudget(ctx context.Context) error {
	load, err := b.readScenario("noisy")
	if err != nil {
		return err
	}
	var measurements []budgetMeasurement
	for _, seed := range b.seeds {
		for _, budget := range controlBudgets {
			measurement, err := b.runWithBudget(ctx, load.WithSeed(seed), budget)
			if err != nil {
				return errors.Wrapf(err, "budget %d, seed %d", budget, seed)
			}
			measurements = append(measurements, measurement)
			if err := b.writeResult(fmt.Sprintf("budget-%d-%d", budget, seed), measurement.measured); err != nil {
				return err
			}
		}
	}
	return b.printBudgetTable(measurements)
}

func (b *Bencher) runWithBudget(ctx context.Context, load scenario.Scenario, budget int) (budgetMeasurement, error) {
	running, err := fleet.Start(ctx, b.bin, fabricStockDeployment(),
		fleet.WithEntries(b.entries),
		fleet.WithPolicy(defaultPolicy),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithEntryArguments("--control-budget", fmt.Sprint(budget)),
		fleet.WithEndpointArguments(noisyEndpointArguments...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return budgetMeasurement{}, err
	}
	measurement, err := b.measureBudget(ctx, running, load)
	measurement.budget = budget
	return measurement, stopFleet(running, err)
}

func (b *Bencher) measureBudget(ctx context.Context, running *fleet.Fleet, load scenario.Scenario) (budgetMeasurement, error) {
	var measurement budgetMeasurement
	if err := b.warmUp(ctx, running.EntryAddresses(), load); err != nil {
		return measurement, err
	}
	refusedBefore, _, err := refusedMessagesAndHoldTimes(ctx, running)
	if err != nil {
		return measurement, err
	}
	localBefore, err := sumCounter(ctx, running, boundLocallyMetric)
	if err != nil {
		return measurement, err
	}
	if measurement.measured, err = b.measure(ctx, running, load, defaultPolicy); err != nil {
		return measurement, err
	}
	refusedAfter, holdTimes, err := refusedMessagesAndHoldTimes(ctx, running)
	if err != nil {
		return measurement, err
	}
	localAfter, err := sumCounter(ctx, running, boundLocallyMetric)
	measurement.refusedMessages = float64(refusedAfter - refusedBefore)
	measurement.boundLocally = float64(localAfter - localBefore)
	measurement.holdTimesMS = holdTimes
	return measurement, err
}

// refusedMessagesAndHoldTimes returns the number of control messages that all entry hosts refused to send, and the
// current hold time of each entry host in milliseconds.
func refusedMessagesAndHoldTimes(ctx context.Context, running *fleet.Fleet) (refused uint64, holdTimesMS []float64, err error) {
	states, err := controlStates(ctx, running)
	for _, entry := range states {
		refused += entry.Spending.RefusedMessages
		holdTimesMS = append(holdTimesMS, float64(entry.Spending.HoldTime)/float64(time.Millisecond))
	}
	return refused, holdTimesMS, err
}

func (b *Bencher) printBudgetTable(measurements []budgetMeasurement) error {
	table := aligner.New()
	table.Addf("budget B/s\tcontrol B/s per host\tp50_ms\tp99_ms\tp99_9_ms\tserved_%%\tnot_run\tunknown+broken\trefused_messages\tbound_alone_%%\thold_ms at the end\t")
	for _, budget := range controlBudgets {
		var control, p50, p99, p999, served, notRun, unknown, refused, local, holdTimes []float64
		for _, measurement := range measurements {
			if measurement.budget != budget {
				continue
			}
			measured := measurement.measured
			control = append(control, measured.ControlBytesPerHostPerS)
			p50 = append(p50, measured.P50MS)
			p99 = append(p99, measured.P99MS)
			p999 = append(p999, measured.P999MS)
			served = append(served, percent(measured.Served, measured.Sent))
			notRun = append(notRun, float64(measured.NotRun))
			unknown = append(unknown, float64(measured.Unknown+measured.Broken))
			refused = append(refused, measurement.refusedMessages)
			local = append(local, percent(int64(measurement.boundLocally), measured.Sent))
			holdTimes = append(holdTimes, measurement.holdTimesMS...)
		}
		table.Addf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t", budget, spread.New(control...), spread.New(p50...),
			spread.New(p99...), spread.New(p999...), spread.New(served...), spread.New(notRun...), spread.New(unknown...),
			spread.New(refused...), spread.New(local...), spread.New(holdTimes...))
	}
	b.printf("\ncontrol budget: middle [lowest-highest] of %d seeds, %d entry hosts", len(b.seeds), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "budget")
}
