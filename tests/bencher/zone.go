package bencher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/spread"
)

// coldEndpointArguments let endpoints start warm and become cold when they restart. A cold endpoint takes three times
// as long for a request and crashes if more than two are in flight; it becomes warm after forty answers.
var coldEndpointArguments = []string{
	"--start-warm", "--cold-requests", "40", "--cold-limit", "2", "--cold-factor", "3",
}

// phase is a part of the run, given by the seconds of its first and last window.
type phase struct {
	name        string
	first, last int64
}

// ZoneOutage measures a load during which an availability zone is taken out of service after a third of the time and
// returns with cold endpoints after two thirds.
func (b *Bencher) ZoneOutage(ctx context.Context) error {
	load, err := b.readScenario("zone")
	if err != nil {
		return err
	}
	load.Mix = b.zoneChoice.Mix
	if b.zoneRate > 0 {
		load = load.WithRate(b.zoneRate)
	}
	var results []result.Result
	err = b.forEachRun(func(seed uint64, policy string) error {
		measured, err := b.runWithZoneOutage(ctx, load.WithSeed(seed), policy)
		if err != nil {
			return err
		}
		results = append(results, measured)
		b.printf("zone %s %s seed %d: served %d of %d, p99 %.1f ms, cold endpoints crashed %d times (peak in flight at one: %d), late sends %d",
			b.zoneChoice.Name, policy, seed, measured.Served, measured.Sent, measured.P99MS, measured.ColdOverloads, measured.ColdPeakInFlight, measured.LateSends)
		b.printWindows(measured.Windows)
		return b.writeResult(fmt.Sprintf("zone-%s-%s-%d", b.zoneChoice.Name, policy, seed), measured)
	})
	if err != nil {
		return err
	}
	return b.printZoneTable(load.Duration(), results)
}

func (b *Bencher) runWithZoneOutage(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, b.zoneChoice.Deployment,
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.entryArguments...),
		fleet.WithPolicy(policy),
		fleet.WithRegionDelay(b.regionDelay),
		fleet.WithEndpointArguments(coldEndpointArguments...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	zoneEnd := make(chan error, 1)
	go func() { zoneEnd <- runZoneOutage(ctx, running, load.Duration()) }()
	measured, err := b.warmUpAndMeasure(ctx, running, load, policy)
	if err != nil {
		cancel()
	}
	if zoneErr := <-zoneEnd; err == nil {
		err = zoneErr
	}
	return measured, stopFleet(running, err)
}

// runZoneOutage takes the fourth availability zone of the deployment, which is the second of its first region, out of
// service after a third of the load and brings it back, restarted, after two thirds.
func runZoneOutage(ctx context.Context, running *fleet.Fleet, duration time.Duration) error {
	zone := running.Deployment().Zones[3].Name
	if err := pauser.Pause(ctx, warmUpDuration+duration/3); err != nil {
		return err
	}
	if err := running.ZoneOut(ctx, zone); err != nil {
		return err
	}
	if err := pauser.Pause(ctx, duration/3); err != nil {
		return err
	}
	if err := running.RestartZone(ctx, zone); err != nil {
		return err
	}
	return running.ZoneIn(ctx, zone)
}

// printWindows prints the 99th percentile of each second in milliseconds, and how many of its requests were not served.
func (b *Bencher) printWindows(windows []result.Window) {
	seconds := make([]string, 0, len(windows))
	for _, window := range windows {
		second := fmt.Sprintf("%.0f", window.P99MS)
		if unserved := window.Sent - window.Served; unserved > 0 {
			second += fmt.Sprintf("(-%d)", unserved)
		}
		seconds = append(seconds, second)
	}
	b.printf("  p99 ms of each second (not served): %s", strings.Join(seconds, " "))
}

func (b *Bencher) printZoneTable(duration time.Duration, results []result.Result) error {
	third := int64(duration / time.Second / 3)
	phases := []phase{{"before", 0, third - 1}, {"out", third, 2*third - 1}, {"back", 2 * third, 3*third - 1}}
	table := aligner.New()
	table.Addf("policy\tphase\tmedian p99_ms of windows\tworst p99_ms of windows\trefusals\tbroken\t")
	for _, policy := range b.policies {
		for _, p := range phases {
			b.addPhaseRow(table, results, policy, p)
		}
	}
	b.printf("\nzone out and back, %s: windows of one second, middle [lowest-highest] of %d seeds, %d endpoints, %d entry hosts",
		b.zoneChoice.Name, len(b.seeds), len(b.zoneChoice.Deployment.Endpoints()), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "zone")
}

func (b *Bencher) addPhaseRow(table *aligner.Aligner, results []result.Result, policy string, p phase) {
	var middleP99s, highestP99s, refusals, broken []float64
	for _, r := range results {
		if r.Label != policy {
			continue
		}
		var p99 []float64
		var refusalsInRun, brokenInRun int64
		for _, window := range r.Windows {
			if window.Second >= p.first && window.Second <= p.last {
				p99 = append(p99, window.P99MS)
				refusalsInRun += window.Refusals
				brokenInRun += window.Broken
			}
		}
		runSpread := spread.New(p99...)
		middleP99s = append(middleP99s, runSpread.Middle)
		highestP99s = append(highestP99s, runSpread.Highest)
		refusals = append(refusals, float64(refusalsInRun))
		broken = append(broken, float64(brokenInRun))
	}
	table.Addf("%s\t%s\t%s\t%s\t%s\t%s\t", policy, p.name, spread.New(middleP99s...), spread.New(highestP99s...),
		spread.New(refusals...), spread.New(broken...))
}
