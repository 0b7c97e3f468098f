package selector

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	// probeWait is how long a request waits for answers to its probes, in addition to the network delay.
	probeWait = 15 * time.Millisecond
	// probeTimeout bounds a probe. Its answer is used even if the request no longer waits for it.
	probeTimeout = time.Second
)

// probeCandidates returns those of the candidates whose load is known, with new estimates. It probes those without a
// fresh report in parallel and waits a limited time for their answers.
//
// If the probe budget is used up it uses the recent reports. If no load is known, the first candidate is returned as
// unanswered.
func (s *Selector) probeCandidates(ctx context.Context, req requirement.Requirement, candidates []candidate, freshness time.Duration) []candidate {
	known, unknown := s.splitByReport(req, candidates, freshness)
	allowed := 0
	if len(unknown) > 0 {
		allowed = s.allowedProbes(len(unknown))
	}
	if allowed < len(unknown) {
		s.counter("looks_over_budget")
		recent, _ := s.splitByReport(req, unknown[allowed:], maxReportAge)
		known = append(known, recent...)
	}
	probed, allEnded := s.probeAll(ctx, req, unknown[:allowed])
	if known = append(known, probed...); len(known) > 0 || allEnded || ctx.Err() != nil {
		return known
	}
	s.counter("looks_unanswered")
	// An answer may have come right after the wait.
	if recent, _ := s.splitByReport(req, candidates, maxReportAge); len(recent) > 0 {
		return recent
	}
	first := candidates[0]
	first.estimate += time.Minute
	first.unanswered = true
	return []candidate{first}
}

// splitByReport splits the candidates into those with a report of at most the given age, with estimates from it, and the
// others. Candidates that may not get the request by their reports are left out.
func (s *Selector) splitByReport(req requirement.Requirement, candidates []candidate, maxAge time.Duration) (known, unknown []candidate) {
	now := s.clock()
	for _, c := range candidates {
		s.mu.Lock()
		e := s.stateOf(&c.host)
		isKnown := now.Sub(e.lastReportAt) <= maxAge
		if isKnown {
			c.report, c.probedAt, c.inFlightBefore = e.lastReport, e.lastReportAt, e.inFlightAtReport
		}
		s.mu.Unlock()
		if !isKnown {
			unknown = append(unknown, c)
			continue
		}
		if estimated, open := s.withEstimate(c, req); open {
			known = append(known, estimated)
		}
	}
	return known, unknown
}

// probeAll probes the candidates in parallel and returns those that answered in time, with new estimates. It reports
// whether each of the probes has ended, so that a candidate that is not returned has failed or may not get the request.
func (s *Selector) probeAll(ctx context.Context, req requirement.Requirement, candidates []candidate) (probed []candidate, allEnded bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	answers := make(chan candidate, len(candidates))
	wait := probeWait
	for _, c := range candidates {
		s.mu.Lock()
		wait = max(wait, probeWait+s.roundTripTo(c.host.Region)*2)
		s.mu.Unlock()
		go func() { answers <- s.probeOne(c) }() //nolint:contextcheck // a probe may outlast the request that started it
	}
	timer := time.NewTimer(min(wait, req.Deadline.Sub(s.clock())))
	defer timer.Stop()
	for range candidates {
		select {
		case <-ctx.Done():
			return probed, false
		case <-timer.C:
			return probed, false
		case c := <-answers:
			if c.report.Err != nil {
				continue
			}
			if estimated, open := s.withEstimate(c, req); open {
				probed = append(probed, estimated)
			}
		}
	}
	return probed, true
}

// allowedProbes returns how many of the wanted probes the budget allows.
func (s *Selector) allowedProbes(wanted int) int {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probeBudget.Take(now, s.probeRate(), wanted)
}

// probeOne probes one endpoint and updates its state with the answer.
func (s *Selector) probeOne(c candidate) candidate {
	ctx, cancel := context.WithTimeout(s.background, probeTimeout)
	defer cancel()
	s.counter("looks")
	sentAt := s.clock()
	c.report = s.probe(ctx, c.host)
	now := s.clock()
	c.probedAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(&c.host)
	s.recordStatements(now, c.host, c.report)
	if c.report.Err != nil {
		e.avoidUntil = now.Add(avoidAfterNoAnswer)
		return c
	}
	if c.report.Incarnation != "" && c.report.Incarnation != c.host.ID {
		e.replaced = true
		c.report.Err = errReplaced
		return c
	}
	e.record(now, c.report)
	c.cold = e.isCold(now)
	s.recordRoundTrip(c.host.Region, now.Sub(sentAt))
	return c
}

// errProbePanicked is the result of a probe whose answer could not be processed.
var errProbePanicked = errors.New("panic while the answer to a probe was read")

// probe sends the probe. A panic while its answer is read fails the probe and does not end the process.
func (s *Selector) probe(ctx context.Context, h host.Host) (r report.Report) {
	defer func() {
		if p := recover(); p != nil {
			s.counter("look_panicked")
			s.logger.Error("answer to a probe could not be read", zap.String("endpoint", h.ID), zap.Any("panic", p))
			r = report.Report{Err: errProbePanicked}
		}
	}()
	return s.prober.Probe(ctx, h)
}

// recordRoundTrip updates the round-trip time to the region with the duration of a probe. The caller holds the lock.
//
// It follows the shortest recent durations, because longer ones include the
// time that the probe waited at the endpoint behind other requests.
func (s *Selector) recordRoundTrip(region string, took time.Duration) {
	const weight = 128
	known := s.roundTripTo(region)
	if took < known || known == 0 {
		s.roundTrips[region] = took
		return
	}
	s.roundTrips[region] = known + (min(took, 2*known)-known)/weight
}

// withEstimate returns the candidate with an estimate from its probe, and reports whether it may get the request.
func (s *Selector) withEstimate(c candidate, req requirement.Requirement) (candidate, bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(&c.host)
	since := max(e.inFlight-c.inFlightBefore, 0)
	running, slowFactor := c.report.InFlight+since, c.report.SlowFactor
	if !c.report.HasLoad {
		// The endpoint does not report its load: only the requests of this host are known.
		running, slowFactor = e.inFlight, defaultSlowFactor
	}
	c.estimate = estimator.Estimate(s.serviceTimeOf(req), estimator.State{
		Running:     running,
		Waiting:     c.report.Waiting,
		Slots:       max(c.report.Slots, c.host.Slots),
		SlowFactor:  slowFactor,
		FailureRate: s.reputation.FailureRate(now, c.host.ID),
		RoundTrip:   s.roundTripTo(c.host.Region),
		Unhealthy:   c.report.Status >= http.StatusMultipleChoices,
		Cold:        c.cold,
	})
	if s.excluder.IsExcluded(now, c.host.ID, c.host.Incarnation) {
		return c, false
	}
	return c, !c.cold || s.mayUseCold(now, c.host)
}
