package selector

import (
	"context"
	"net/http"
	"time"

	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	// probeWait is how long a request waits for answers to its probes, in addition to the network delay.
	probeWait = 15 * time.Millisecond
	// probeTimeout bounds a probe. Its answer is used even if the request no longer waits for it.
	probeTimeout = time.Second
)

// probeCandidates probes the candidates in parallel and returns those that answered in time, with new estimates.
//
// If the probe budget is used up it returns the first candidate without a probe.
func (s *Selector) probeCandidates(ctx context.Context, req requirement.Requirement, candidates []candidate) []candidate {
	allowed := s.allowedProbes(len(candidates))
	if allowed == 0 {
		s.counter("looks_over_budget")
		return candidates[:1]
	}
	candidates = candidates[:allowed]
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
	var probed []candidate
	for range candidates {
		select {
		case <-ctx.Done():
			return probed
		case <-timer.C:
			return s.probedOrFirst(req, probed, candidates)
		case c := <-answers:
			if c.report.Err != nil {
				continue
			}
			if estimated, open := s.withEstimate(c, req); open {
				probed = append(probed, estimated)
			}
		}
	}
	return probed
}

// allowedProbes returns how many of the wanted probes the budget allows.
func (s *Selector) allowedProbes(wanted int) int {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probeBudget.Take(now, s.probeRate(), wanted)
}

// probedOrFirst returns the probed candidates. If there is none it returns those with a recent report, or else the first
// of all candidates as unanswered, with a minute added to its estimate.
func (s *Selector) probedOrFirst(req requirement.Requirement, probed, candidates []candidate) []candidate {
	if len(probed) > 0 {
		return probed
	}
	s.counter("looks_unanswered")
	if reported := s.withRecentReports(req, candidates); len(reported) > 0 {
		return reported
	}
	first := candidates[0]
	first.estimate += time.Minute
	first.unanswered = true
	return []candidate{first}
}

// withRecentReports returns the candidates that have reported their load recently, with estimates from these reports.
func (s *Selector) withRecentReports(req requirement.Requirement, candidates []candidate) []candidate {
	var reported []candidate
	now := s.clock()
	for _, c := range candidates {
		s.mu.Lock()
		e := s.stateOf(&c.host)
		isRecent := now.Sub(e.lastReportAt) < maxReportAge
		c.report, c.probedAt = e.lastReport, e.lastReportAt
		s.mu.Unlock()
		if !isRecent {
			continue
		}
		if estimated, open := s.withEstimate(c, req); open {
			reported = append(reported, estimated)
		}
	}
	return reported
}

// probeOne probes one endpoint and updates its state with the answer.
func (s *Selector) probeOne(c candidate) candidate {
	ctx, cancel := context.WithTimeout(s.background, probeTimeout)
	defer cancel()
	s.counter("looks")
	sentAt := s.clock()
	c.report = s.prober.Probe(ctx, c.host)
	now := s.clock()
	c.probedAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(&c.host)
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
	return c, !c.cold || s.mayUseCold(now, c.host)
}
