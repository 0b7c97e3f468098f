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

// coldEndpoints start warm, turn cold by a restart, and then bear two requests at once until they answered forty.
var coldEndpoints = []string{
	"--start-warm", "--cold-requests", "40", "--cold-limit", "2", "--cold-factor", "3",
}

// phase is a part of the run by its windows.
type phase struct {
	name        string
	first, last int64
}

// Zone measures service while an availability zone leaves after a third of the time and returns, cold, after two.
func (b *Bencher) Zone(ctx context.Context) error {
	load, err := b.load("zone")
	if err != nil {
		return err
	}
	load.Mix = b.zoneChoice.Mix
	if b.zoneRate > 0 {
		load = load.WithRate(b.zoneRate)
	}
	var all []result.Result
	err = b.each(func(seed uint64, policy string) error {
		measured, err := b.zoneRun(ctx, load.WithSeed(seed), policy)
		if err != nil {
			return err
		}
		all = append(all, measured)
		b.say("zone %s %s seed %d: served %d of %d, p99 %.1f ms, cold endpoints fell over %d times (most in flight at one: %d), late sends %d",
			b.zoneChoice.Name, policy, seed, measured.Served, measured.Sent, measured.P99MS, measured.FellOver, measured.ColdPeakInFlight, measured.LateSends)
		b.sayWindows(measured.Windows)
		return b.write(fmt.Sprintf("zone-%s-%s-%d", b.zoneChoice.Name, policy, seed), measured)
	})
	if err != nil {
		return err
	}
	return b.zoneTable(load.Duration(), all)
}

func (b *Bencher) zoneRun(ctx context.Context, load scenario.Scenario, policy string) (result.Result, error) {
	running, err := fleet.Start(ctx, b.bin, b.zoneChoice.Deployment,
		fleet.WithEntries(b.entries),
		fleet.WithEntryArguments(b.arguments...),
		fleet.WithPolicy(policy),
		fleet.WithDistance(b.distance),
		fleet.WithEndpointArguments(coldEndpoints...),
		fleet.WithEndpointArguments("--seed", fmt.Sprint(load.Seed)),
	)
	if err != nil {
		return result.Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	zoneEnd := make(chan error, 1)
	go func() { zoneEnd <- moveZone(ctx, running, load.Duration()) }()
	measured, err := b.offer(ctx, running, load, policy)
	if err != nil {
		cancel()
	}
	if zoneErr := <-zoneEnd; err == nil {
		err = zoneErr
	}
	return measured, stop(running, err)
}

// moveZone takes the deployment's fourth zone, the second of its first region, out and back.
func moveZone(ctx context.Context, running *fleet.Fleet, duration time.Duration) error {
	zone := running.Deployment().Zones[3].Name
	if err := pauser.Pause(ctx, warmUp+duration/3); err != nil {
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

// sayWindows tells each second's 99th percentile in milliseconds, and what was not served in it.
func (b *Bencher) sayWindows(windows []result.Window) {
	seconds := make([]string, 0, len(windows))
	for _, window := range windows {
		second := fmt.Sprintf("%.0f", window.P99MS)
		if unserved := window.Sent - window.Served; unserved > 0 {
			second += fmt.Sprintf("(-%d)", unserved)
		}
		seconds = append(seconds, second)
	}
	b.say("  p99 ms of each second (not served): %s", strings.Join(seconds, " "))
}

func (b *Bencher) zoneTable(duration time.Duration, all []result.Result) error {
	third := int64(duration / time.Second / 3)
	phases := []phase{{"before", 0, third - 1}, {"out", third, 2*third - 1}, {"back", 2 * third, 3*third - 1}}
	table := aligner.New()
	table.Addf("policy\tphase\tmedian p99_ms of windows\tworst p99_ms of windows\trefusals\tbroken\t")
	for _, policy := range b.policies {
		for _, p := range phases {
			b.phaseRow(table, all, policy, p)
		}
	}
	b.say("\nzone out and back, %s: windows of one second, middle [lowest-highest] of %d seeds, %d endpoints, %d entry hosts",
		b.zoneChoice.Name, len(b.seeds), len(b.zoneChoice.Deployment.Endpoints()), b.entries)
	_, err := table.WriteTo(b.out)
	return errors.Wrap(err, "zone")
}

func (b *Bencher) phaseRow(table *aligner.Aligner, all []result.Result, policy string, p phase) {
	var middles, worsts, refusals, broken []float64
	for _, r := range all {
		if r.Label != policy {
			continue
		}
		var p99 []float64
		var refused, failed int64
		for _, window := range r.Windows {
			if window.Second >= p.first && window.Second <= p.last {
				p99 = append(p99, window.P99MS)
				refused += window.Refusals
				failed += window.Broken
			}
		}
		inRun := spread.New(p99...)
		middles = append(middles, inRun.Middle)
		worsts = append(worsts, inRun.Highest)
		refusals = append(refusals, float64(refused))
		broken = append(broken, float64(failed))
	}
	table.Addf("%s\t%s\t%s\t%s\t%s\t%s\t", policy, p.name, spread.New(middles...), spread.New(worsts...),
		spread.New(refusals...), spread.New(broken...))
}
