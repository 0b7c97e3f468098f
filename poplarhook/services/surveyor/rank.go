package surveyor

import (
	"cmp"
	"slices"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/wish"
)

const (
	// familiar is how many endpoints of a group a host usually asks: three rounds of looks.
	familiar = 12
	// reportAge is for how long a report says something about the slowness of the endpoint.
	reportAge = 100 * time.Millisecond
	// unheardSlowness is that of an endpoint with no recent report: a mean over its slow spells.
	unheardSlowness = 1.5
	// firstWay is taken for the way to another region before any look has measured it.
	firstWay = 25 * time.Millisecond
)

// rank returns the endpoints of the groups that may get the request, the likeliest first.
func (s *Surveyor) rank(w wish.Wish, groups []group.Group) []candidate {
	now := s.clock()
	var candidates []candidate
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range groups {
		for _, h := range s.source.OpenEndpoints(now, g) {
			if c, open := s.candidateOf(now, w, g, h); open && h.ID != w.Excluded {
				candidates = append(candidates, c)
			}
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.markFamiliar(candidates)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance(), b.distance()), cmp.Compare(a.estimate, b.estimate))
	})
	if sound := slices.IndexFunc(candidates, func(c candidate) bool { return c.passedOver }); sound > 0 {
		return candidates[:sound]
	}
	return candidates
}

// candidateOf estimates an endpoint by what is known without a look, and reports whether it may get work. The lock is held.
func (s *Surveyor) candidateOf(now time.Time, w wish.Wish, g group.Group, h host.Host) (candidate, bool) {
	k := s.knowledgeOf(h)
	c := candidate{group: g, host: h, cold: k.isCold(now), sentBefore: k.inFlight}
	if k.replaced || (c.cold && !s.mayUseCold(now, h)) {
		return c, false
	}
	state := s.stateOf(now, k, h)
	c.estimate = estimator.Estimate(s.workOf(w), state)
	if now.Before(k.passOverUntil) {
		c.estimate += time.Minute
		c.passedOver = true
	}
	return c, true
}

func (s *Surveyor) mayUseCold(now time.Time, h host.Host) bool {
	_, included := s.sharers(h)
	return included && h.Region == s.region && s.gate.May(now, h.ID)
}

// stateOf returns what is known of the endpoint; old reports say nothing of its slowness. The lock is held.
func (s *Surveyor) stateOf(now time.Time, k *knowledge, h host.Host) estimator.State {
	state := estimator.State{
		Running:  k.inFlight,
		Slots:    h.Slots,
		Slowness: unheardSlowness,
		Failing:  s.reputation.Failing(now, h.ID),
		Way:      s.wayTo(h.Region),
		Cold:     k.isCold(now),
	}
	if now.Sub(k.lastAt) < reportAge {
		state.Slowness = k.last.Slowness
		state.Running = max(k.last.InFlight, k.inFlight)
		state.Waiting = k.last.Waiting
	}
	return state
}

// workOf returns how long the request's work usually takes. The lock is held.
func (s *Surveyor) workOf(w wish.Wish) time.Duration {
	return s.estimator.Work(w.Class, w.Target.Sub(w.Arrived))
}

// wayTo returns the time to the region and back. The lock is held.
func (s *Surveyor) wayTo(region string) time.Duration {
	if way, known := s.ways[region]; known {
		return way
	}
	if region == s.region {
		return 0
	}
	return firstWay
}

// markFamiliar leaves as many endpoints of each host's own choice as it can keep connections to; all hosts together
// choose each endpoint about equally often.
func (s *Surveyor) markFamiliar(candidates []candidate) {
	if len(candidates) <= familiar {
		return
	}
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.host.ID)
	}
	best := ranker.New(ids...).Best(s.self, familiar)
	for i := range candidates {
		candidates[i].unfamiliar = !slices.Contains(best, candidates[i].host.ID)
	}
}
