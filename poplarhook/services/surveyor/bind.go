package surveyor

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/admitter"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/wish"
)

const (
	// looksAtOnce is how many endpoints are asked together; three, four and five gave a mean worth of 0.668, 0.670 and 0.664 on one site and 0.746, 0.747 and 0.745 on the other.
	looksAtOnce = 4
	// farLooks is how many endpoints of other regions are asked, where bytes cost most.
	farLooks = 3
	// familiar is how many endpoints of a group a host usually asks: three rounds of looks.
	familiar = 12
	// lookWait is how long a request waits for looks in its own region, in excess of the way.
	lookWait = 15 * time.Millisecond
	// lookTimeout bounds a look, whose answer counts also after the request has stopped waiting for it.
	lookTimeout = time.Second
	// sendWithin is how long a choice holds; new connections count.
	sendWithin = 300 * time.Millisecond
	// reportAge is for how long a report says something about the slowness of the endpoint.
	reportAge = 100 * time.Millisecond
	// unheardSlowness is that of an endpoint with no recent report: a mean over its slow spells.
	unheardSlowness = 1.5
	// firstWay is taken for the way to another region before any look has measured it.
	firstWay = 25 * time.Millisecond
	// relook is the pause before endpoints that were all full are looked at again.
	relook = 10 * time.Millisecond
	// noneOpenWait is when a caller may come back while no endpoint is open.
	noneOpenWait = 500 * time.Millisecond
)

// candidate is an endpoint that may get the request.
type candidate struct {
	group group.Group
	host  host.Host
	cold  bool
	// passedOver says that the endpoint failed or left a look unanswered a moment ago.
	passedOver bool
	// unfamiliar says that this host looks at the endpoint only when those that it usually asks are no good.
	unfamiliar bool
	estimate   time.Duration
	report     report.Report
	lookedAt   time.Time
	// sentBefore is how many requests of this host were in flight there when the look was sent.
	sentBefore int
}

// Bind looks at likely endpoints and takes the one that should answer soonest.
func (s *Surveyor) Bind(ctx context.Context, w wish.Wish) (binding.Binding, error) {
	for {
		best, found := s.survey(ctx, w)
		if !found {
			s.logger.Warn("no endpoint is open", zap.String("request", w.Request), zap.String("class", w.Class))
			return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint is open").WithRetryAfter(noneOpenWait)
		}
		switch s.judge(best, w) {
		case admitter.Send:
			if b, taken := s.take(best, w); taken {
				return b, nil
			}
			continue
		case admitter.Refuse:
			s.counter("bind_refused")
			s.logRefused(best, w)
			return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint would answer in time").WithRetryAfter(comeBackIn(best.estimate))
		}
		if err := pauser.Pause(ctx, relook); err != nil {
			return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "every endpoint was full until the deadline").WithRetryAfter(noneOpenWait)
		}
	}
}

const (
	// soonest and latest bound when a caller of full endpoints may come back: some work has ended by then, and a load
	// that lasts longer is better asked about again than guessed.
	soonest = 50 * time.Millisecond
	latest  = time.Second
)

// comeBackIn returns when a caller may come back if the best endpoint needs the given time.
func comeBackIn(estimate time.Duration) time.Duration {
	return min(max(estimate/2, soonest), latest)
}

func (s *Surveyor) logRefused(best candidate, w wish.Wish) {
	now := s.clock()
	s.logger.Warn("no endpoint would answer in time", zap.String("request", w.Request), zap.String("class", w.Class),
		zap.String("best", best.host.ID), zap.Int("running", best.report.InFlight), zap.Int("waiting", best.report.Waiting),
		zap.Float64("slowness", best.report.Slowness), zap.Duration("look_age", now.Sub(best.lookedAt)),
		zap.Duration("estimate", best.estimate), zap.Duration("target_in", w.Target.Sub(now)), zap.Duration("deadline_in", w.Until.Sub(now)))
}

// judge decides what becomes of a request whose best endpoint is the given one.
func (s *Surveyor) judge(best candidate, w wish.Wish) admitter.Verdict {
	now := s.clock()
	s.mu.Lock()
	work := s.workOf(w)
	s.mu.Unlock()
	return admitter.Judge(admitter.Case{
		Estimate: best.estimate,
		Work:     work,
		Target:   w.Target.Sub(now),
		Deadline: w.Until.Sub(now),
		Free:     !best.report.Loaded || best.report.InFlight < max(best.report.Slots, 1) && best.report.Waiting == 0,
		Full:     best.isFull(),
	})
}

// distance orders candidates before their estimates do.
func (c candidate) distance() int {
	switch {
	case c.passedOver:
		return 2
	case c.unfamiliar:
		return 1
	default:
		return 0
	}
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

// hasFreeSlot reports whether the request should be worked on at once, as far as is known.
func (c candidate) hasFreeSlot() bool {
	if !c.report.Loaded {
		return c.sentBefore == 0
	}
	return c.report.InFlight < max(c.report.Slots, 1) && c.report.Waiting == 0
}

// slowness returns how long work takes, 1 as usual where the endpoint does not tell.
func (c candidate) slowness() float64 {
	if !c.report.Loaded || c.report.Slowness <= 0 {
		return 1
	}
	return c.report.Slowness
}

// isFull reports whether the endpoint would have to queue the request behind as many others as it has slots.
func (c candidate) isFull() bool {
	return c.report.Loaded && c.report.Waiting >= max(c.report.Slots, 1)
}

// survey looks at endpoints, the likeliest first, until one is good or all were seen.
func (s *Surveyor) survey(ctx context.Context, w wish.Wish) (candidate, bool) {
	var best candidate
	found := false
	for distance, tier := range s.tiers(w) {
		candidates := s.rank(w, tier)
		if distance > 0 {
			// Each look at another region takes its way, so only the likeliest are worth one.
			candidates = candidates[:min(farLooks, len(candidates))]
		}
		for len(candidates) > 0 && ctx.Err() == nil {
			n := min(looksAtOnce, len(candidates))
			for _, c := range s.look(ctx, w, candidates[:n]) {
				if !found || c.estimate < best.estimate {
					best, found = c, true
				}
			}
			candidates = candidates[n:]
			if found && s.isGood(best, w) {
				return best, true
			}
		}
	}
	return best, found
}

// tiers returns the groups of the own region and then those of the others.
func (s *Surveyor) tiers(w wish.Wish) [][]group.Group {
	var own, others []group.Group
	for _, g := range w.Groups {
		if g.Region == s.region {
			own = append(own, g)
			continue
		}
		others = append(others, g)
	}
	return [][]group.Group{own, others}
}

// isGood reports whether the endpoint should answer before the request's target.
func (s *Surveyor) isGood(c candidate, w wish.Wish) bool {
	return !c.isFull() && s.clock().Add(c.estimate).Before(w.Target)
}

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

// look asks the endpoints together and returns those that answered in time, estimated anew.
func (s *Surveyor) look(ctx context.Context, w wish.Wish, candidates []candidate) []candidate {
	allowed := s.allowed(len(candidates))
	if allowed == 0 {
		s.counter("looks_over_budget")
		return candidates[:1]
	}
	candidates = candidates[:allowed]
	answers := make(chan candidate, len(candidates))
	wait := lookWait
	for _, c := range candidates {
		s.mu.Lock()
		wait = max(wait, lookWait+s.wayTo(c.host.Region)*2)
		s.mu.Unlock()
		go func() { answers <- s.ask(c) }() //nolint:contextcheck // a look outlasts the request that asked for it
	}
	timer := time.NewTimer(min(wait, w.Until.Sub(s.clock())))
	defer timer.Stop()
	var looked []candidate
	for range candidates {
		select {
		case <-ctx.Done():
			return looked
		case <-timer.C:
			return s.orUnlooked(looked, candidates)
		case c := <-answers:
			if c.report.Err != nil {
				continue
			}
			if estimated, open := s.estimated(c, w); open {
				looked = append(looked, estimated)
			}
		}
	}
	return looked
}

// allowed returns how many of the wanted looks the budget allows.
func (s *Surveyor) allowed(wanted int) int {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.looks.Take(now, s.lookRate(), wanted)
}

// orUnlooked returns the first candidate as it was known when no look was answered.
func (s *Surveyor) orUnlooked(looked, candidates []candidate) []candidate {
	if len(looked) > 0 {
		return looked
	}
	s.counter("looks_unanswered")
	first := candidates[0]
	first.estimate += time.Minute
	return []candidate{first}
}

// ask looks at one endpoint and takes its report in.
func (s *Surveyor) ask(c candidate) candidate {
	ctx, cancel := context.WithTimeout(s.background, lookTimeout)
	defer cancel()
	s.counter("looks")
	askedAt := s.clock()
	c.report = s.asker.Ask(ctx, c.host)
	now := s.clock()
	c.lookedAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knowledgeOf(c.host)
	if c.report.Err != nil {
		k.passOverUntil = now.Add(unansweredFor)
		return c
	}
	if c.report.Incarnation != "" && c.report.Incarnation != c.host.ID {
		k.replaced = true
		c.report.Err = errReplaced
		return c
	}
	k.learn(now, c.report)
	c.cold = k.isCold(now)
	s.measureWay(c.host.Region, now.Sub(askedAt))
	return c
}

// measureWay takes in how long a look took: the shortest of late, as others wait at the endpoint. The lock is held.
func (s *Surveyor) measureWay(region string, took time.Duration) {
	const weight = 128
	way := s.wayTo(region)
	if took < way || way == 0 {
		s.ways[region] = took
		return
	}
	s.ways[region] = way + (min(took, 2*way)-way)/weight
}

// estimated returns the candidate with an estimate by its look, and reports whether it may get work.
func (s *Surveyor) estimated(c candidate, w wish.Wish) (candidate, bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knowledgeOf(c.host)
	since := max(k.inFlight-c.sentBefore, 0)
	running, slowness := c.report.InFlight+since, c.report.Slowness
	if !c.report.Loaded {
		// The endpoint does not tell its load: only this host's own requests are known.
		running, slowness = k.inFlight, unheardSlowness
	}
	c.estimate = estimator.Estimate(s.workOf(w), estimator.State{
		Running:  running,
		Waiting:  c.report.Waiting,
		Slots:    max(c.report.Slots, c.host.Slots),
		Slowness: slowness,
		Failing:  s.reputation.Failing(now, c.host.ID),
		Way:      s.wayTo(c.host.Region),
		Ill:      c.report.Status >= http.StatusMultipleChoices,
		Cold:     c.cold,
	})
	return c, !c.cold || s.mayUseCold(now, c.host)
}

// count counts the request in at its endpoint, unless that is cold and has got its share.
func (s *Surveyor) count(now time.Time, c candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knowledgeOf(c.host)
	if k.isCold(now) {
		if !s.mayUseCold(now, c.host) {
			return false
		}
		sharers, _ := s.sharers(c.host)
		s.gate.Pass(now, c.host.ID, c.host.ColdPerSecond, sharers)
	}
	k.inFlight++
	return true
}

// take binds the request to the chosen endpoint, and reports whether that was possible.
func (s *Surveyor) take(c candidate, w wish.Wish) (binding.Binding, bool) {
	now := s.clock()
	if !s.count(now, c) {
		return binding.Binding{}, false
	}
	s.logger.Info("endpoint chosen", zap.String("request", w.Request), zap.String("endpoint", c.host.ID),
		zap.String("region", c.host.Region), zap.Bool("cold", c.cold), zap.Int("running", c.report.InFlight),
		zap.Int("waiting", c.report.Waiting), zap.Float64("slowness", c.report.Slowness),
		zap.Duration("look_age", now.Sub(c.lookedAt)), zap.Duration("estimate", c.estimate))
	return binding.Binding{
		Group:    c.group,
		Endpoint: c.host,
		Alone:    true,
		Free:     true,
		SendBy:   now.Add(sendWithin),
		Class:    w.Class,
		Slowness: c.slowness(),
		Idle:     c.hasFreeSlot(),
	}, true
}
