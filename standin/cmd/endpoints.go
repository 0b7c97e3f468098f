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

const postTimeout = 5 * time.Second

// endpoints plays many endpoints, each at its own address.
type endpoints struct {
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

func newEndpoints() *endpoints {
	return &endpoints{
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

func (e *endpoints) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("endpoints")
	s.Description = "Plays endpoints, each at its own address."
	s.String(&e.hosts, "", "hosts", "JSON file: an array of the hosts to play")
	s.String(&e.control, "", "control", "address of the common control")
	s.String(&e.platform, "", "platform", "base URL of the platform's stand-in that lists the hosts, none when empty")
	s.Float64(&e.meanServiceMS, "", "mean-service-ms", "mean of the exponential service time, ms")
	s.Float64(&e.spellFactor, "", "spell-factor", "how many times as long work takes in a slow spell, 1 for no spells")
	s.Float64(&e.spellLengthMS, "", "spell-length-ms", "mean length of a slow spell, ms; spells are 0.5 to 1.5 times as long")
	s.Float64(&e.spellIntervalMS, "", "spell-interval-ms", "mean time from one slow spell to the next, ms")
	s.Int(&e.coldRequests, "", "cold-requests", "answers until an endpoint is warm, 0 for no cold starts")
	s.Int(&e.coldLimit, "", "cold-limit", "requests in flight over which a cold endpoint falls over")
	s.Float64(&e.coldFactor, "", "cold-factor", "how many times as long work takes on a cold endpoint")
	s.Float64(&e.coldGraceMS, "", "cold-grace-ms", "time after turning cold in which it sheds in place of falling over, ms")
	s.Bool(&e.startWarm, "", "start-warm", "start warm; later restarts are cold")
	s.Int(&e.queue, "", "queue", "requests that may wait for a slot")
	s.Float64(&e.connectMS, "", "connect-ms", "time until a new connection is served, ms")
	s.Bool(&e.record, "", "record", "keep every byte received, for /standin/received")
	s.UInt64(&e.seed, "", "seed", "seed of service times and spells")
	return s
}

func (e *endpoints) run(ctx context.Context, stdout io.Writer) error {
	hosts, err := readHosts(e.hosts)
	if err != nil {
		return err
	}
	if err := e.check(hosts); err != nil {
		return err
	}
	asked := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(asked))
	defer cancel()
	listener, err := listen(ctx, e.control)
	if err != nil {
		return err
	}
	played := supervisor.New(e.responders(hosts)...)
	done, err := played.Start(ctx)
	if err != nil {
		listener.Close()
		return err
	}
	controlDone := serve(ctx, listener, played)
	if err := e.post(ctx, played.Hosts()); err != nil {
		return err
	}
	ready := endpointsReady{Ready: true, Control: listener.Addr().String(), Hosts: played.Hosts()}
	if err := announce(stdout, ready); err != nil {
		return err
	}
	stopWatching := context.AfterFunc(asked, func() { leave(played, cancel) })
	defer stopWatching()
	err = <-done
	cancel()
	if controlErr := <-controlDone; err == nil {
		err = controlErr
	}
	return err
}

// leaveNotice is how long endpoints that were asked to stop say that they leave before they do.
const leaveNotice = 300 * time.Millisecond

// leave stops the endpoints as planned: they say so, and finish what runs.
func leave(played *supervisor.Supervisor, end context.CancelFunc) {
	played.Leave()
	time.AfterFunc(leaveNotice, end)
}

func (e *endpoints) check(hosts []host.Host) error {
	switch {
	case len(hosts) == 0:
		return errors.Errorf("--hosts %q: at least one host is needed", e.hosts)
	case e.meanServiceMS < 0:
		return errors.Errorf("--mean-service-ms %v: allowed are 0 and more", e.meanServiceMS)
	case e.spellFactor < 1:
		return errors.Errorf("--spell-factor %v: allowed are 1 and more", e.spellFactor)
	case e.spellFactor > 1 && (e.spellLengthMS <= 0 || e.spellIntervalMS <= 0):
		return errors.Errorf("--spell-length-ms %v and --spell-interval-ms %v: allowed is more than 0", e.spellLengthMS, e.spellIntervalMS)
	case e.coldRequests < 0:
		return errors.Errorf("--cold-requests %d: allowed are 0 and more", e.coldRequests)
	case e.coldLimit < 1:
		return errors.Errorf("--cold-limit %d: allowed are 1 and more", e.coldLimit)
	}
	return nil
}

func (e *endpoints) responders(hosts []host.Host) []*responder.Responder {
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
	for _, played := range hosts {
		all = append(all, responder.New(played, options...))
	}
	return all
}

// post lists the hosts at the platform's stand-in.
func (e *endpoints) post(ctx context.Context, hosts []host.Host) error {
	if e.platform == "" {
		return nil
	}
	client := &http.Client{Timeout: postTimeout}
	for _, played := range hosts {
		text, err := json.Marshal(played)
		if err != nil {
			return errors.Wrapf(err, "host %s", played.ID)
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
			return errors.Errorf("--platform %q: host %s: status %d", e.platform, played.ID, response.StatusCode)
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
