package selector

import (
	"cmp"
	"slices"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	// subsetSize is how many endpoints of a group are in the subset that a host probes first, enough for three rounds
	// of probes.
	subsetSize = 12
	// maxReportAge is how long a report is used for the slow factor and the load of the endpoint.
	maxReportAge = 100 * time.Millisecond
	// defaultSlowFactor is assumed for an endpoint without a recent report: a mean that includes its slow periods.
	defaultSlowFactor = 1.5
	// defaultRoundTrip is assumed as the round-trip time to another region before a probe has measured it.
	defaultRoundTrip = 25 * time.Millisecond
)

// eligibleEndpoint is an endpoint that may get the request, before its answer time is estimated.
type eligibleEndpoint struct {
	group group.Group
	host  *host.Host
	state *endpointState
}

// rankEndpoints returns the endpoints of a tier that may get the request, those with the shortest estimate first.
func (s *Selector) rankEndpoints(req requirement.Requirement, t tier) []candidate {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	eligible, minWeight := s.eligibleEndpoints(now, req, t)
	candidates := make([]candidate, 0, subsetSize)
	for _, e := range eligible {
		if inSubset := e.state.weight >= minWeight; inSubset != t.outsideSubset {
			candidates = append(candidates, s.candidateOf(now, req, e))
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.estimate, b.estimate) })
	return candidates
}

// eligibleEndpoints returns the endpoints of the tier's groups that may get the request, and the minimum weight of the
// endpoints in the subset. The caller holds the lock.
//
// Endpoints that are avoided after a failure, a refusal or an unanswered probe
// are returned only if no other is left.
func (s *Selector) eligibleEndpoints(now time.Time, req requirement.Requirement, t tier) (eligible []eligibleEndpoint, minWeight uint64) {
	var preferred, avoided []eligibleEndpoint
	for _, g := range t.groups {
		open := s.source.OpenEndpoints(now, g)
		for i := range open {
			h := &open[i]
			e := s.stateOf(h)
			switch {
			case h.ID == req.Excluded || !req.AdmitsVersion(h.Version) || e.replaced ||
				s.excluder.IsExcluded(now, h.ID, h.Incarnation) || (e.isCold(now) && !s.mayUseCold(now, *h)):
			case now.Before(e.avoidUntil):
				avoided = append(avoided, eligibleEndpoint{group: g, host: h, state: e})
			default:
				preferred = append(preferred, eligibleEndpoint{group: g, host: h, state: e})
			}
		}
	}
	minWeight = subsetMinWeight(t.subsetSize, preferred, avoided)
	if len(preferred) > 0 {
		return preferred, minWeight
	}
	return avoided, minWeight
}

// subsetMinWeight returns the minimum weight of the endpoints in this host's subset of the given size.
//
// Each host has its own subset, of as many endpoints as it can keep connections
// to. Over all hosts, each endpoint is in about the same number of subsets.
func subsetMinWeight(size int, preferred, avoided []eligibleEndpoint) uint64 {
	if len(preferred)+len(avoided) <= size {
		return 0
	}
	weights := make([]uint64, 0, len(preferred)+len(avoided))
	for _, e := range preferred {
		weights = append(weights, e.state.weight)
	}
	for _, e := range avoided {
		weights = append(weights, e.state.weight)
	}
	slices.Sort(weights)
	return weights[len(weights)-size]
}

// candidateOf returns the endpoint as a candidate with an estimate from its known state, without a probe. The caller
// holds the lock.
func (s *Selector) candidateOf(now time.Time, req requirement.Requirement, e eligibleEndpoint) candidate {
	return candidate{
		group:          e.group,
		host:           *e.host,
		cold:           e.state.isCold(now),
		inFlightBefore: e.state.inFlight,
		estimate:       estimator.Estimate(s.serviceTimeOf(req), s.estimatorState(now, e.state, *e.host)),
	}
}

// mayUseCold reports whether this host may send a request to the cold endpoint now. The caller holds the lock.
func (s *Selector) mayUseCold(now time.Time, h host.Host) bool {
	_, included := s.coldSharers(h)
	return included && h.Region == s.region && s.coldLimiter.Allows(now, h.ID)
}

// estimatorState returns the input of the estimate for an endpoint that has not been probed; reports older than
// maxReportAge are ignored. The caller holds the lock.
func (s *Selector) estimatorState(now time.Time, e *endpointState, h host.Host) estimator.State {
	state := estimator.State{
		Running:     e.inFlight,
		Slots:       h.Slots,
		SlowFactor:  defaultSlowFactor,
		FailureRate: s.reputation.FailureRate(now, h.ID),
		RoundTrip:   s.roundTripTo(h.Region),
		Cold:        e.isCold(now),
	}
	if now.Sub(e.lastReportAt) < maxReportAge {
		state.SlowFactor = e.lastReport.SlowFactor
		state.Running = max(e.lastReport.InFlight, e.inFlight)
		state.Waiting = e.lastReport.Waiting
	}
	return state
}

// serviceTimeOf returns the usual service time of the request. The caller holds the lock.
func (s *Selector) serviceTimeOf(req requirement.Requirement) time.Duration {
	return s.estimator.ServiceTime(req.Class, req.Target.Sub(req.ArrivedAt))
}

// roundTripTo returns the network round-trip time to the region. The caller holds the lock.
func (s *Selector) roundTripTo(region string) time.Duration {
	if roundTrip, known := s.roundTrips[region]; known {
		return roundTrip
	}
	if region == s.region {
		return 0
	}
	return defaultRoundTrip
}
