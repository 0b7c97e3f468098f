package selector

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/admitter"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	// parallelProbes is how many endpoints of the own region are probed in parallel.
	parallelProbes = 4
	// remoteProbes is how many endpoints of other regions are probed in parallel when no endpoint of the own region
	// would answer in time. Traffic between regions costs the most.
	remoteProbes = 3
	// remoteOnlyProbes is how many endpoints of other regions are probed in parallel when the own region has no open
	// endpoint. A round of probes takes a network round trip, so there is only one round.
	remoteOnlyProbes = 6
	// bindingValidity is how long a binding may be used; the time to open a new connection counts.
	bindingValidity = 300 * time.Millisecond
	// unansweredPause is the pause before endpoints of which none has answered are probed again.
	unansweredPause = 10 * time.Millisecond
	// noEndpointRetryAfter is the time after which callers may retry when no endpoint is open.
	noEndpointRetryAfter = 500 * time.Millisecond
)

// Bind probes the endpoints with the shortest estimates and binds the request to the one that should answer first.
func (s *Selector) Bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	if s.versions != nil && len(req.Groups) > 0 {
		return s.bindVersion(ctx, req)
	}
	return s.bind(ctx, req)
}

// bind binds the request to an endpoint of one of the versions that it admits.
func (s *Selector) bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	if s.shedder != nil && len(req.Groups) > 0 {
		return s.bindByCost(ctx, req)
	}
	for {
		best, found, err := s.findAnswered(ctx, req)
		if err != nil {
			return binding.Binding{}, err
		}
		if !found {
			return binding.Binding{}, s.refuseWithoutEndpoint(ctx, req)
		}
		if s.decide(best, req) == admitter.Refuse {
			s.counter("bind_refused")
			s.logRefused(best, req)
			return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint would answer in time").WithRetryAfter(s.retryAfter(best.estimate))
		}
		if b, bound := s.bindTo(best, req); bound {
			return b, nil
		}
	}
}

// findAnswered returns the best endpoint. If no endpoint has answered its probe, it probes once more after a pause.
func (s *Selector) findAnswered(ctx context.Context, req requirement.Requirement) (best candidate, found bool, err error) {
	for round := 1; ; round++ {
		best, found = s.findBest(ctx, req)
		if !found || !best.unanswered || round >= maxUnansweredRounds {
			return best, found, nil
		}
		if err := pauser.Pause(ctx, unansweredPause); err != nil {
			return candidate{}, false, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint told its load in time").WithRetryAfter(noEndpointRetryAfter)
		}
	}
}

// refuseWithoutEndpoint returns the refusal of a request for which no endpoint was found.
func (s *Selector) refuseWithoutEndpoint(ctx context.Context, req requirement.Requirement) error {
	if ctx.Err() != nil {
		return refusal.NotRun(http.StatusServiceUnavailable, "given up while endpoints were looked at").WithRetryAfter(noEndpointRetryAfter)
	}
	if wait := s.QuietRetryAfter(req); wait > 0 {
		s.counter("bind_refused_quiet")
		return refusal.NotRun(http.StatusServiceUnavailable, "all endpoints have asked for a pause").WithRetryAfter(wait)
	}
	s.logger.Warn("no endpoint is open", zap.String("request", req.RequestID), zap.String("class", req.Class))
	return refusal.NotRun(http.StatusServiceUnavailable, "no endpoint is open").WithRetryAfter(noEndpointRetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which callers may retry when all endpoints are full. After
	// the minimum, some requests have ended. How long an overload lasts beyond the maximum is not predicted: a caller
	// learns of it when it retries.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = time.Second
	// minRetrySpread and maxRetrySpread are the range of the retry time as a part of the estimate.
	minRetrySpread = 0.15
	maxRetrySpread = 0.5
)

// retryAfter returns the time after which a caller may retry if the best endpoint would answer after the estimate. The
// times are spread, since callers that are refused together would otherwise come back together.
func (s *Selector) retryAfter(estimate time.Duration) time.Duration {
	s.mu.Lock()
	spread := minRetrySpread + (maxRetrySpread-minRetrySpread)*s.random.Float64()
	s.mu.Unlock()
	return min(max(time.Duration(spread*float64(estimate)), minRetryAfter), maxRetryAfter)
}

func (s *Selector) logRefused(best candidate, req requirement.Requirement) {
	s.logger.Warn("no endpoint would answer in time", s.refusedFields(best, req)...)
}

// refusedFields returns the log fields of a request that is refused although its best endpoint is known.
func (s *Selector) refusedFields(best candidate, req requirement.Requirement) []zap.Field {
	now := s.clock()
	return []zap.Field{
		zap.String("request", req.RequestID), zap.String("class", req.Class),
		zap.String("best", best.host.ID), zap.Int("running", best.report.InFlight), zap.Int("waiting", best.report.Waiting),
		zap.Float64("slowness", best.report.SlowFactor), zap.Duration("look_age", now.Sub(best.probedAt)),
		zap.Duration("estimate", best.estimate), zap.Duration("target_in", req.Target.Sub(now)), zap.Duration("deadline_in", req.Deadline.Sub(now)),
	}
}

// maxUnansweredRounds is how many rounds of probes without any answer there are before the request is sent all the same.
// A single one may be due to a pause of this host.
const maxUnansweredRounds = 2

// decide decides whether the request is sent to its best endpoint or refused.
func (s *Selector) decide(best candidate, req requirement.Requirement) admitter.Decision {
	if best.unanswered {
		return admitter.Send
	}
	s.mu.Lock()
	isKnown := s.estimator.Knows(req.Class)
	s.mu.Unlock()
	return admitter.Decide(admitter.Case{
		IsGuess:     !isKnown,
		Estimate:    best.estimate,
		Target:      req.Target.Sub(s.clock()),
		Urgency:     req.Urgency,
		HasFreeSlot: !best.report.HasLoad || best.hasFreeSlot(),
		QueueFull:   best.isFull(),
	})
}

const (
	// firstFreshness is how old a report may be that takes the place of a probe in the first round, so that requests
	// that arrive together share their probes.
	firstFreshness = 2 * time.Millisecond
	// furtherFreshness is the same in the further rounds, which follow when the first endpoints are busy. Under overload
	// each request makes them, and would use up the probes of this host when the load of endpoints matters most.
	furtherFreshness = 20 * time.Millisecond
)

// maxRoundsByCost is how many rounds of probes a tier gets where requests can wait for the next free slot, which costs
// fewer probes than to look at all endpoints.
const maxRoundsByCost = 2

// findBest probes the tiers of endpoints in turn until one endpoint should meet the request's target or all tiers have
// been probed. It returns the best endpoint found and whether there is one.
//
// If the best endpoint of the first round is slow or would slow down with this request, one further round of the same
// tier is probed: at moderate load some other endpoint is idle, and a request at a busy one is late more often.
func (s *Selector) findBest(ctx context.Context, req requirement.Requirement) (candidate, bool) {
	var best candidate
	found, freshness, rounds := false, firstFreshness, 0
	for _, t := range s.tiers(req) {
		if found && (t.lastResort || s.meetsTarget(best, req)) {
			break
		}
		candidates := s.rankEndpoints(req, t)
		if t.remote {
			// Each round of probes to another region takes a network round trip, so only the first round is sent.
			candidates = candidates[:min(t.probes, len(candidates))]
		}
		if s.shedder != nil {
			candidates = candidates[:min(t.probes*maxRoundsByCost, len(candidates))]
		}
		for len(candidates) > 0 && ctx.Err() == nil {
			n := min(t.probes, len(candidates))
			for _, c := range s.probeCandidates(ctx, req, candidates[:n], freshness) {
				if !found || c.estimate < best.estimate {
					best, found = c, true
				}
			}
			candidates, freshness = candidates[n:], furtherFreshness
			rounds++
			if found && s.meetsTarget(best, req) && (rounds > 1 || best.isUnloaded()) {
				return best, true
			}
		}
	}
	return best, found
}

// tier is a part of the endpoints; the endpoints of a tier are probed before those of the next.
type tier struct {
	groups []group.Group
	// outsideSubset is true if the tier has the endpoints outside this host's subset, false if it has those of the
	// subset.
	outsideSubset bool
	// remote is true if the endpoints are in other regions.
	remote bool
	// lastResort is true if the tier is probed only when no endpoint of the tiers before it has answered.
	lastResort bool
	// probes is how many endpoints are probed in parallel.
	probes int
	// subsetSize is how many endpoints are in this host's subset.
	subsetSize int
}

// tiers returns the tiers of the request's endpoints, in the order in which they are probed.
func (s *Selector) tiers(req requirement.Requirement) []tier {
	var own, others []group.Group
	for _, g := range req.Groups {
		if g.Region == s.region {
			own = append(own, g)
			continue
		}
		others = append(others, g)
	}
	if !s.hasOpenEndpoint(req, own) {
		// The subset is as large as one round of probes, so that connections to all of its endpoints are open.
		return []tier{
			{groups: others, remote: true, probes: remoteOnlyProbes, subsetSize: remoteOnlyProbes},
			{groups: others, remote: true, probes: remoteOnlyProbes, subsetSize: remoteOnlyProbes, outsideSubset: true, lastResort: true},
		}
	}
	return []tier{
		{groups: own, probes: parallelProbes, subsetSize: subsetSize},
		{groups: own, probes: parallelProbes, subsetSize: subsetSize, outsideSubset: true},
		{groups: others, remote: true, probes: remoteProbes, subsetSize: subsetSize},
		{groups: others, remote: true, probes: remoteProbes, subsetSize: subsetSize, outsideSubset: true, lastResort: true},
	}
}

// hasOpenEndpoint reports whether any of the groups has an endpoint that may get new requests, has not stated that it
// takes none, and is of a version that the request admits.
func (s *Selector) hasOpenEndpoint(req requirement.Requirement, groups []group.Group) bool {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	isOpen := func(h host.Host) bool {
		return req.AdmitsVersion(h.Version) && !s.excluder.IsExcluded(now, h.ID, h.Incarnation)
	}
	return slices.ContainsFunc(groups, func(g group.Group) bool { return slices.ContainsFunc(s.source.OpenEndpoints(now, g), isOpen) })
}

// meetsTarget reports whether the endpoint is not full and should answer before the request's target.
func (s *Selector) meetsTarget(c candidate, req requirement.Requirement) bool {
	return !c.isFull() && s.clock().Add(c.estimate).Before(req.Target)
}

// countInFlight counts the request as in flight at the endpoint and reports whether it may be sent. It may not if the
// endpoint has stated since its probe that it takes none, or if it is cold and this host has used its share of the
// endpoint's rate.
func (s *Selector) countInFlight(now time.Time, c candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.excluder.IsExcluded(now, c.host.ID, c.host.Incarnation) {
		return false
	}
	e := s.stateOf(&c.host)
	if e.isCold(now) {
		if !s.mayUseCold(now, c.host) {
			return false
		}
		sharers, _ := s.coldSharers(c.host)
		s.coldLimiter.Record(now, c.host.ID, c.host.ColdPerSecond, sharers)
	}
	e.inFlight++
	return true
}

// maxSlotReportAge is how old the report of a free slot may be for the latency to count as the usual service time. Others
// may have taken the slot since, and the wait behind them is no part of it.
const maxSlotReportAge = 5 * time.Millisecond

// bindTo binds the request to the endpoint, and reports whether that was possible.
func (s *Selector) bindTo(c candidate, req requirement.Requirement) (binding.Binding, bool) {
	now := s.clock()
	if !s.countInFlight(now, c) {
		return binding.Binding{}, false
	}
	s.logger.Info("endpoint chosen", zap.String("request", req.RequestID), zap.String("endpoint", c.host.ID),
		zap.String("region", c.host.Region), zap.Bool("cold", c.cold), zap.Int("running", c.report.InFlight),
		zap.Int("waiting", c.report.Waiting), zap.Float64("slowness", c.report.SlowFactor),
		zap.Duration("look_age", now.Sub(c.probedAt)), zap.Duration("estimate", c.estimate))
	return binding.Binding{
		Group:              c.group,
		Endpoint:           c.host,
		Local:              true,
		AllowNewConnection: true,
		SendBy:             now.Add(bindingValidity),
		Class:              req.Class,
		SlowFactor:         c.slowFactor(),
		HadFreeSlot:        c.hasFreeSlot() && now.Sub(c.probedAt) <= maxSlotReportAge,
	}, true
}
