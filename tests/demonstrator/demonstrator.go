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
	// zoneOutShare and zoneInShare are the shares of the load's duration after which the availability zone is taken out
	// of service and brought back.
	zoneOutShare = 0.3
	zoneInShare  = 0.6
	// maxOverhead bounds the time that the demonstration may take in addition to its load.
	maxOverhead = 90 * time.Second
)

// coldEndpointArguments let endpoints start warm and become cold when they restart. A cold endpoint crashes if more
// than one request is in flight, and becomes warm after twenty answers.
var coldEndpointArguments = []string{"--start-warm", "--cold-requests", "20", "--cold-limit", "1"}

// Demonstrator runs one deployment under load for a limited time.
type Demonstrator struct {
	deployment deployment.Deployment
	load       scenario.Scenario
	bin        string
	logFolder  string
	out        io.Writer
	clock      func() time.Time
}

// New returns a Demonstrator that runs the programs in the folder bin as the given deployment, offers it the given mix
// of requests and prints its steps to out.
func New(d deployment.Deployment, mix []scenario.Entry, bin, logFolder string, out io.Writer, clock func() time.Time) *Demonstrator {
	load := scenario.Scenario{Seed: 1, RatePerS: ratePerS, Arrivals: scenario.Poisson, Mix: mix}
	return &Demonstrator{deployment: d, load: load, bin: bin, logFolder: logFolder, out: out, clock: clock}
}

// Run offers the load for the duration and returns the verdict; all processes have ended when Run returns.
func (d *Demonstrator) Run(ctx context.Context, duration time.Duration) verdict.Verdict {
	ctx, cancel := context.WithTimeout(ctx, duration+maxOverhead)
	defer cancel()
	d.printf("starting the stand-ins and %d entry hosts", entryHosts)
	running, err := fleet.Start(ctx, d.bin, d.deployment,
		fleet.WithEntries(entryHosts),
		fleet.WithLogFolder(d.logFolder),
		fleet.WithEndpointArguments(coldEndpointArguments...),
	)
	if err != nil {
		return verdict.Verdict{}.WithFailure(err)
	}
	measured, outage, runErr := d.offerLoad(ctx, running, duration)
	executions, recordErr := running.Executions(ctx)
	d.printf("stopping all processes")
	stopErr := running.Stop()
	outcome := verdict.New(measured).WithZoneOutExecutions(outage.countExecutions(running.Endpoints(), executions))
	for _, err := range []error{errors.Wrap(stopErr, "stopping"), recordErr, runErr} {
		if err != nil {
			outcome = outcome.WithFailure(err)
		}
	}
	return outcome
}

// offerLoad offers the load while another goroutine takes an availability zone out of service and brings it back.
func (d *Demonstrator) offerLoad(ctx context.Context, running *fleet.Fleet, duration time.Duration) (result.Result, outage, error) {
	outageResults := make(chan zoneOutageResult, 1)
	go func() { outageResults <- d.runZoneOutage(ctx, running, duration) }()
	d.printf("offering %.0f requests per second for %s", d.load.RatePerS, duration)
	measured, err := experimenter.New(d.load.WithDuration(duration), running.EntryAddresses(), d.clock,
		experimenter.WithControls(running.ControlAddresses()...),
		experimenter.WithHostList(running.HostListURL()),
		experimenter.WithSenderOptions(sender.WithConnections(connections)),
	).Run(ctx)
	zoneResult := <-outageResults
	if err == nil {
		err = zoneResult.err
	}
	if err != nil {
		return measured, zoneResult.outage, err
	}
	return measured, zoneResult.outage, reporter.New(d.out).Table(measured)
}

// zoneOutageResult is the time of a zone's outage, and the error if taking it out or bringing it back failed.
type zoneOutageResult struct {
	outage outage
	err    error
}

// runZoneOutage takes the second availability zone of the first region out of service and brings it back with cold
// endpoints.
func (d *Demonstrator) runZoneOutage(ctx context.Context, running *fleet.Fleet, duration time.Duration) zoneOutageResult {
	zone := d.secondZone()
	if err := pauser.Pause(ctx, fractionOf(duration, zoneOutShare)); err != nil {
		return zoneOutageResult{err: err}
	}
	if err := running.ZoneOut(ctx, zone); err != nil {
		return zoneOutageResult{err: err}
	}
	out := outage{zone: zone, acceptedAt: d.clock()}
	d.printf("availability zone %s is out of service", zone)
	if err := pauser.Pause(ctx, fractionOf(duration, zoneInShare-zoneOutShare)); err != nil {
		return zoneOutageResult{outage: out, err: err}
	}
	if err := running.RestartZone(ctx, zone); err != nil {
		return zoneOutageResult{outage: out, err: err}
	}
	out.endedAt = d.clock()
	if err := running.ZoneIn(ctx, zone); err != nil {
		return zoneOutageResult{outage: out, err: err}
	}
	d.printf("availability zone %s is back in service", zone)
	return zoneOutageResult{outage: out}
}

// secondZone returns the second availability zone of the first region, or the first zone if the region has only one.
func (d *Demonstrator) secondZone() string {
	first := d.deployment.Zones[0]
	for _, zone := range d.deployment.Zones[1:] {
		if zone.Region == first.Region {
			return zone.Name
		}
	}
	return first.Name
}

func (d *Demonstrator) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", arguments...)
}

func fractionOf(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}
