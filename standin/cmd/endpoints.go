package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/responder"
	"poplarhook.example/standin/supervisor"
)

const registerTimeout = 5 * time.Second

// endpointsCommand simulates many endpoints, each at its own address.
type endpointsCommand struct {
	hosts           string
	control         string
	platform        string
	meanServiceMS   float64
	spellFactor     float64
	spellLengthMS   float64
	spellIntervalMS float64
	coldRequests    int
	coldLimit       int
	coldFactor      float64
	coldGraceMS     float64
	startWarm       bool
	queue           int
	connectMS       float64
	record          bool
	seed            uint64
}

type endpointsReady struct {
	Ready   bool        `json:"ready"`
	Control string      `json:"control"`
	Hosts   []host.Host `json:"hosts"`
}

func newEndpointsCommand() *endpointsCommand {
	return &endpointsCommand{
		control:         "127.0.0.1:0",
		meanServiceMS:   4,
		spellFactor:     1,
		spellLengthMS:   40,
		spellIntervalMS: 400,
		coldLimit:       1,
		coldFactor:      1,
		queue:           1024,
		connectMS:       1,
		seed:            1,
	}
}

func (e *endpointsCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("endpoints")
	s.Description = "Simulates endpoints, each at its own address."
	s.String(&e.hosts, "", "hosts", "JSON file: an array of the hosts to simulate")
	s.String(&e.control, "", "control", "address of the control API of all endpoints")
	s.String(&e.platform, "", "platform", "base URL of the simulated platform at which the hosts are registered, none when empty")
	s.Float64(&e.meanServiceMS, "", "mean-service-ms", "mean of the exponential service time, ms")
	s.Float64(&e.spellFactor, "", "spell-factor", "factor by which service times grow in a slow spell, 1 for no spells")
	s.Float64(&e.spellLengthMS, "", "spell-length-ms", "mean length of a slow spell, ms; each spell is 0.5 to 1.5 times as long")
	s.Float64(&e.spellIntervalMS, "", "spell-interval-ms", "mean time from one slow spell to the next, ms")
	s.Int(&e.coldRequests, "", "cold-requests", "completed requests after which a cold endpoint is warm, 0 for no cold starts")
	s.Int(&e.coldLimit, "", "cold-limit", "number of requests in flight above which a cold endpoint crashes and restarts")
	s.Float64(&e.coldFactor, "", "cold-factor", "factor by which service times grow on a cold endpoint")
	s.Float64(&e.coldGraceMS, "", "cold-grace-ms", "time after becoming cold in which an endpoint sheds requests over the limit instead of crashing, ms")
	s.Bool(&e.startWarm, "", "start-warm", "start warm; endpoints are cold after later restarts")
	s.Int(&e.queue, "", "queue", "requests that may wait for a slot")
	s.Float64(&e.connectMS, "", "connect-ms", "delay until a new connection is served, ms")
	s.Bool(&e.record, "", "record", "keep every byte received, for /standin/received")
	s.UInt64(&e.seed, "", "seed", "seed of the service times and slow spells")
	return s
}

func (e *endpointsCommand) run(ctx context.Context, stdout io.Writer) error {
	hosts, err := readHosts(e.hosts)
	if err != nil {
		return err
	}
	if err := e.checkFlags(hosts); err != nil {
		return err
	}
	signalCtx := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(signalCtx))
	defer cancel()
	listener, err := listen(ctx, e.control)
	if err != nil {
		return err
	}
	endpoints := supervisor.New(e.newResponders(hosts)...)
	done, err := endpoints.Start(ctx)
	if err != nil {
		listener.Close()
		return err
	}
	controlDone := serve(ctx, listener, endpoints)
	if err := e.registerHosts(ctx, endpoints.Hosts()); err != nil {
		return err
	}
	ready := endpointsReady{Ready: true, Control: listener.Addr().String(), Hosts: endpoints.Hosts()}
	if err := printReady(stdout, ready); err != nil {
		return err
	}
	stopWatching := context.AfterFunc(signalCtx, func() { leaveAndStop(endpoints, cancel) })
	defer stopWatching()
	err = <-done
	cancel()
	if controlErr := <-controlDone; err == nil {
		err = controlErr
	}
	return err
}

// leaveDelay is the time between the announcement that the endpoints leave and their stop.
const leaveDelay = 300 * time.Millisecond

// leaveAndStop stops the endpoints gracefully: they first announce that they leave, and finish running requests.
func leaveAndStop(endpoints *supervisor.Supervisor, stop context.CancelFunc) {
	endpoints.AnnounceLeaving()
	time.AfterFunc(leaveDelay, stop)
}

func (e *endpointsCommand) checkFlags(hosts []host.Host) error {
	switch {
	case len(hosts) == 0:
		return errors.Errorf("--hosts %q: must list at least one host", e.hosts)
	case e.meanServiceMS < 0:
		return errors.Errorf("--mean-service-ms %v: must be 0 or more", e.meanServiceMS)
	case e.spellFactor < 1:
		return errors.Errorf("--spell-factor %v: must be 1 or more", e.spellFactor)
	case e.spellFactor > 1 && (e.spellLengthMS <= 0 || e.spellIntervalMS <= 0):
		return errors.Errorf("--spell-length-ms %v and --spell-interval-ms %v: both must be more than 0", e.spellLengthMS, e.spellIntervalMS)
	case e.coldRequests < 0:
		return errors.Errorf("--cold-requests %d: must be 0 or more", e.coldRequests)
	case e.coldLimit < 1:
		return errors.Errorf("--cold-limit %d: must be 1 or more", e.coldLimit)
	}
	return nil
}

func (e *endpointsCommand) newResponders(hosts []host.Host) []*responder.Responder {
	options := []responder.Option{
		responder.WithSeed(e.seed),
		responder.WithMeanService(milliseconds(e.meanServiceMS)),
		responder.WithSpells(e.spellFactor, milliseconds(e.spellLengthMS), milliseconds(e.spellIntervalMS)),
		responder.WithColdStart(e.coldRequests, e.coldLimit),
		responder.WithColdFactor(e.coldFactor),
		responder.WithColdGrace(milliseconds(e.coldGraceMS)),
		responder.WithQueue(e.queue),
		responder.WithConnectDelay(milliseconds(e.connectMS)),
		responder.WithRecording(e.record),
	}
	if e.startWarm {
		options = append(options, responder.WithWarmStart())
	}
	all := make([]*responder.Responder, 0, len(hosts))
	for _, simulated := range hosts {
		all = append(all, responder.New(simulated, options...))
	}
	return all
}

// registerHosts adds the hosts to the host list of the simulated platform.
func (e *endpointsCommand) registerHosts(ctx context.Context, hosts []host.Host) error {
	if e.platform == "" {
		return nil
	}
	client := &http.Client{Timeout: registerTimeout}
	for _, registered := range hosts {
		text, err := json.Marshal(registered)
		if err != nil {
			return errors.Wrapf(err, "host %s", registered.ID)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.platform+"/standin/hosts", bytes.NewReader(text))
		if err != nil {
			return errors.Wrapf(err, "--platform %q", e.platform)
		}
		response, err := client.Do(request)
		if err != nil {
			return errors.Wrapf(err, "--platform %q", e.platform)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusNoContent {
			return errors.Errorf("--platform %q: host %s: status %d", e.platform, registered.ID, response.StatusCode)
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
