package surveyor

import (
	"cmp"
	"slices"
	"time"

	"poplarhook.example/lib/host"
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

// contender is an endpoint that may get the request.
type contender struct {
	group group.Group
	host  *host.Host
	known *knowledge
}

// rank returns the endpoints of a tier that may get the request, the likeliest first.
func (s *Surveyor) rank(w wish.Wish, t tier) []candidate {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	contenders, least := s.contenders(now, w, t)
	candidates := make([]candidate, 0, familiar)
	for _, o := range contenders {
		if isFamiliar := o.known.weight >= least; isFamiliar != t.unfamiliar {
			candidates = append(candidates, s.candidateOf(now, w, o))
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.estimate, b.estimate) })
	return candidates
}

// contenders returns the endpoints of the groups that may get work, and the least weight of those that this host usually
// asks; those that failed or left a look unanswered a moment ago are returned only if no other is left. The lock is held.
func (s *Surveyor) contenders(now time.Time, w wish.Wish, t tier) (contenders []contender, least uint64) {
	var sound, passedOver []contender
	for _, g := range t.groups {
		open := s.source.OpenEndpoints(now, g)
		for i := range open {
			h := &open[i]
			k := s.knowledgeOf(h)
			switch {
			case h.ID == w.Excluded || k.replaced || (k.isCold(now) && !s.mayUseCold(now, *h)):
			case now.Before(k.passOverUntil):
				passedOver = append(passedOver, contender{group: g, host: h, known: k})
			default:
				sound = append(sound, contender{group: g, host: h, known: k})
			}
		}
	}
	least = leastFamiliar(t.familiar, sound, passedOver)
	if len(sound) > 0 {
		return sound, least
	}
	return passedOver, least
}

// leastFamiliar returns the least weight of the given number of endpoints that this host usually asks.
//
// Each host has its own choice, of as many as it can keep connections to; all
// hosts together choose each endpoint about equally often.
func leastFamiliar(count int, sound, passedOver []contender) uint64 {
	if len(sound)+len(passedOver) <= count {
		return 0
	}
	weights := make([]uint64, 0, len(sound)+len(passedOver))
	for _, o := range sound {
		weights = append(weights, o.known.weight)
	}
	for _, o := range passedOver {
		weights = append(weights, o.known.weight)
	}
	slices.Sort(weights)
	return weights[len(weights)-count]
}

// candidateOf estimates an endpoint by what is known without a look. The lock is held.
func (s *Surveyor) candidateOf(now time.Time, w wish.Wish, o contender) candidate {
	return candidate{
		group:      o.group,
		host:       *o.host,
		cold:       o.known.isCold(now),
		sentBefore: o.known.inFlight,
		estimate:   estimator.Estimate(s.workOf(w), s.stateOf(now, o.known, *o.host)),
	}
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
