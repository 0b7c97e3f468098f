package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/reporter"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/verdict"
)

const (
	entryHosts  = 6
	ratePerS    = 300
	connections = 512
	// outAt and backAt are the shares of the load's time after which the zone leaves and returns.
	outAt  = 0.3
	backAt = 0.6
	// overhead bounds what the demonstration may take besides its load.
	overhead = 90 * time.Second
)

// coldStarts lets an endpoint that restarts bear one request at once until it has answered twenty.
var coldStarts = []string{"--start-warm", "--cold-requests", "20", "--cold-limit", "1"}

// Demonstrator runs one deployment for a bounded time.
type Demonstrator struct {
	deployment deployment.Deployment
	load       scenario.Scenario
	bin        string
	logFolder  string
	out        io.Writer
	clock      func() time.Time
}

// New returns a demonstrator of a deployment under the mix, with the programs in bin; it tells its steps to out.
func New(d deployment.Deployment, mix []scenario.Entry, bin, logFolder string, out io.Writer, clock func() time.Time) *Demonstrator {
	load := scenario.Scenario{Seed: 1, RatePerS: ratePerS, Arrivals: scenario.Poisson, Mix: mix}
	return &Demonstrator{deployment: d, load: load, bin: bin, logFolder: logFolder, out: out, clock: clock}
}

// Run offers the load for the duration and returns the verdict; every process has ended when it returns.
func (d *Demonstrator) Run(ctx context.Context, duration time.Duration) verdict.Verdict {
	ctx, cancel := context.WithTimeout(ctx, duration+overhead)
	defer cancel()
	d.say("starting the stand-ins and %d entry hosts", entryHosts)
	running, err := fleet.Start(ctx, d.bin, d.deployment,
		fleet.WithEntries(entryHosts),
		fleet.WithLogFolder(d.logFolder),
		fleet.WithEndpointArguments(coldStarts...),
	)
	if err != nil {
		return verdict.Verdict{}.WithFailure(err)
	}
	measured, outage, runErr := d.offer(ctx, running, duration)
	executions, recordErr := running.Executions(ctx)
	d.say("stopping everything")
	stopErr := running.Stop()
	shown := verdict.New(measured).WithZoneOutExecutions(outage.executions(running.Endpoints(), executions))
	for _, err := range []error{errors.Wrap(stopErr, "stopping"), recordErr, runErr} {
		if err != nil {
			shown = shown.WithFailure(err)
		}
	}
	return shown
}

// offer offers the load while another goroutine takes the zone out and back.
func (d *Demonstrator) offer(ctx context.Context, running *fleet.Fleet, duration time.Duration) (result.Result, outage, error) {
	moved := make(chan zoneMove, 1)
	go func() { moved <- d.moveZone(ctx, running, duration) }()
	d.say("offering %.0f requests a second for %s", d.load.RatePerS, duration)
	measured, err := experimenter.New(d.load.WithDuration(duration), running.EntryAddresses(), d.clock,
		experimenter.WithControls(running.Controls()...),
		experimenter.WithHostList(running.HostListURL()),
		experimenter.WithSending(sender.WithConnections(connections)),
	).Run(ctx)
	move := <-moved
	if err == nil {
		err = move.err
	}
	if err != nil {
		return measured, move.outage, err
	}
	return measured, move.outage, reporter.New(d.out).Table(measured)
}

// zoneMove is the end of taking a zone out and bringing it back.
type zoneMove struct {
	outage outage
	err    error
}

// moveZone takes the second zone of the first region out and brings it back with its endpoints cold.
func (d *Demonstrator) moveZone(ctx context.Context, running *fleet.Fleet, duration time.Duration) zoneMove {
	zone := d.secondZone()
	if err := pauser.Pause(ctx, share(duration, outAt)); err != nil {
		return zoneMove{err: err}
	}
	if err := running.ZoneOut(ctx, zone); err != nil {
		return zoneMove{err: err}
	}
	out := outage{zone: zone, accepted: d.clock()}
	d.say("availability zone %s is out", zone)
	if err := pauser.Pause(ctx, share(duration, backAt-outAt)); err != nil {
		return zoneMove{outage: out, err: err}
	}
	if err := running.RestartZone(ctx, zone); err != nil {
		return zoneMove{outage: out, err: err}
	}
	out.ended = d.clock()
	if err := running.ZoneIn(ctx, zone); err != nil {
		return zoneMove{outage: out, err: err}
	}
	d.say("availability zone %s is back", zone)
	return zoneMove{outage: out}
}

func (d *Demonstrator) secondZone() string {
	first := d.deployment.Zones[0]
	for _, zone := range d.deployment.Zones[1:] {
		if zone.Region == first.Region {
			return zone.Name
		}
	}
	return first.Name
}

func (d *Demonstrator) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", arguments...)
}

func share(duration time.Duration, part float64) time.Duration {
	return time.Duration(float64(duration) * part)
}
