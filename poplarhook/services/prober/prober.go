package prober

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/report"
)

const (
	// probeBytes is how many bytes of the control budget one probe and its answer use.
	probeBytes = 400
	// probeTimeout bounds the duration of one probe.
	probeTimeout = time.Second
	// maxHealthBytes is how many bytes of the body of the answer to a probe are read.
	maxHealthBytes = 4096
	// maxParallel bounds the number of probes that wait for answers at the same time.
	maxParallel = 16
)

// sender sends one request to one endpoint.
type sender interface {
	Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error)
}

// targets lists the endpoints of the groups that this host owns from which nothing was received for the given time, and
// receives the result of each probe.
type targets interface {
	SilentEndpoints(now time.Time, since time.Duration) []host.Host
	RecordProbe(endpoint host.Host, r report.Report)
}

// limiter limits control traffic, in bytes.
type limiter interface {
	Allow(now time.Time, bytes int) bool
}

// Prober probes endpoints from which nothing was received for an interval, within the control budget.
type Prober struct {
	sender   sender
	targets  targets
	limiter  limiter
	interval time.Duration
	clock    func() time.Time
	count    func(event string)
	// lastID numbers the probes: a connection does not carry two requests of the same id in a row.
	lastID atomic.Uint64
}

// New returns a Prober that probes endpoints from which nothing was received for the interval.
func New(s sender, t targets, l limiter, interval time.Duration, clock func() time.Time, count func(event string)) *Prober {
	return &Prober{sender: s, targets: t, limiter: l, interval: interval, clock: clock, count: count}
}

// Run sends probes until the context ends. The returned channel gets nil after the last probe.
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
		p.probeAll(ctx)
	}
}

// probeAll probes every endpoint from which nothing was received for the interval, a few in parallel, until the control
// budget is used up.
func (p *Prober) probeAll(ctx context.Context) {
	now := p.clock()
	slots := make(chan struct{}, maxParallel)
	var running sync.WaitGroup
	for _, h := range p.targets.SilentEndpoints(now, p.interval) {
		if !p.limiter.Allow(now, probeBytes) {
			p.count("probe_over_budget")
			break
		}
		slots <- struct{}{}
		running.Go(func() {
			p.targets.RecordProbe(h, p.probeEndpoint(ctx, h))
			<-slots
		})
	}
	running.Wait()
}

// probeEndpoint returns the endpoint's answer to a health check as a report, with an error if it did not answer.
func (p *Prober) probeEndpoint(ctx context.Context, h host.Host) report.Report {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := p.clock()
	response, err := p.sender.Send(ctx, binding.Binding{Endpoint: h}, job.Job{
		ID:       "probe-" + strconv.FormatUint(p.lastID.Add(1), 10),
		Class:    class.Class{Name: "probe", Execution: class.Idempotent},
		Method:   http.MethodGet,
		URL:      &url.URL{Path: "/healthz"},
		Deadline: sentAt.Add(probeTimeout),
	})
	if err != nil {
		p.count("probe_failed")
		return report.Report{}.WithResult(p.clock().Sub(sentAt), err)
	}
	received := report.FromHeader(response.StatusCode, response.Header)
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	_ = response.Body.Close()
	p.count("probe_answered")
	return received.WithResult(p.clock().Sub(sentAt), err)
}
