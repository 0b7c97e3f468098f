package prober

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/report"
)

const (
	// probeBytes is what one probe and its answer cost of the control budget.
	probeBytes = 400
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxHealthBytes is how much of the answer's body is read.
	maxHealthBytes = 4096
	// maxAtOnce bounds the probes that wait for answers.
	maxAtOnce = 16
)

// sender sends one request to one endpoint.
type sender interface {
	Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error)
}

// targets names the endpoints to ask and takes in what they say.
type targets interface {
	Unheard(now time.Time, since time.Duration) []host.Host
	Probed(endpoint host.Host, r report.Report)
}

// limiter is the control budget.
type limiter interface {
	Allow(now time.Time, bytes int) bool
}

// Prober asks endpoints that have not been heard for an interval, within the control budget.
type Prober struct {
	sender   sender
	targets  targets
	limiter  limiter
	interval time.Duration
	clock    func() time.Time
	count    func(event string)
}

// New returns a Prober that asks endpoints not heard for the interval.
func New(s sender, t targets, l limiter, interval time.Duration, clock func() time.Time, count func(event string)) *Prober {
	return &Prober{sender: s, targets: t, limiter: l, interval: interval, clock: clock, count: count}
}

// Run asks until the context ends; the channel gives the end.
func (p *Prober) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		p.run(ctx)
		done <- nil
	}()
	return done
}

func (p *Prober) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.round(ctx)
	}
}

// round asks every endpoint that has not been heard, a few at once, as far as the budget goes.
func (p *Prober) round(ctx context.Context) {
	now := p.clock()
	slots := make(chan struct{}, maxAtOnce)
	var running sync.WaitGroup
	for _, h := range p.targets.Unheard(now, p.interval) {
		if !p.limiter.Allow(now, probeBytes) {
			p.count("probe_over_budget")
			break
		}
		slots <- struct{}{}
		running.Go(func() {
			p.targets.Probed(h, p.ask(ctx, h))
			<-slots
		})
	}
	running.Wait()
}

// ask returns what the endpoint's health says, with an error if it gave no answer.
func (p *Prober) ask(ctx context.Context, h host.Host) report.Report {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := p.clock()
	response, err := p.sender.Send(ctx, binding.Binding{Endpoint: h}, job.Job{
		ID:     "probe",
		Class:  class.Class{Name: "probe", Execution: class.Idempotent},
		Method: http.MethodGet,
		URL:    &url.URL{Path: "/healthz"},
		Until:  sentAt.Add(probeTimeout),
	})
	if err != nil {
		p.count("probe_failed")
		return report.Report{}.WithResult(p.clock().Sub(sentAt), err)
	}
	seen := report.FromHeader(response.StatusCode, response.Header)
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	_ = response.Body.Close()
	p.count("probe_answered")
	return seen.WithResult(p.clock().Sub(sentAt), err)
}
