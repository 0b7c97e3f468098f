package surveyor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/admitter"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/wish"
)

const (
	// looksAtOnce is how many endpoints are asked together, the best of three, four and five (docs/MEASURES.md).
	looksAtOnce = 4
	// farLooks is how many endpoints of other regions are asked when the own region is late, where bytes cost most.
	farLooks = 3
	// awayLooks is how many are asked, all at once, when the own region has no endpoint that may serve: each round of looks
	// takes the way there and back, so there is one only.
	awayLooks = 6
	// sendWithin is how long a choice holds; new connections count.
	sendWithin = 300 * time.Millisecond
	// relook is the pause before endpoints that were all full are looked at again.
	relook = 10 * time.Millisecond
	// noneOpenWait is when a caller may come back while no endpoint is open.
	noneOpenWait = 500 * time.Millisecond
)

// Bind looks at likely endpoints and takes the one that should answer soonest.
func (s *Surveyor) Bind(ctx context.Context, w wish.Wish) (binding.Binding, error) {
	for {
		best, found := s.survey(ctx, w)
		if !found && ctx.Err() != nil {
			return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "given up while endpoints were looked at").WithRetryAfter(noneOpenWait)
		}
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
		Free:     !best.report.Loaded || best.hasFreeSlot(),
		Full:     best.isFull(),
	})
}

// survey looks at endpoints, the likeliest first, until one is good or all were seen.
func (s *Surveyor) survey(ctx context.Context, w wish.Wish) (candidate, bool) {
	var best candidate
	found := false
	for _, t := range s.tiers(w) {
		if t.last && found {
			break
		}
		candidates := s.rank(w, t)
		if t.far {
			// Each look at another region takes its way, so only the likeliest are worth one.
			candidates = candidates[:min(t.looks, len(candidates))]
		}
		for len(candidates) > 0 && ctx.Err() == nil {
			n := min(t.looks, len(candidates))
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

// tier is a part of the endpoints that are looked at before the next tier is.
type tier struct {
	groups []group.Group
	// unfamiliar says that the tier is those that this host does not usually ask.
	unfamiliar bool
	// far says that the endpoints are in other regions.
	far bool
	// last says that the tier is looked at only if no endpoint before it has answered.
	last bool
	// looks is how many endpoints are asked together.
	looks int
	// familiar is how many endpoints this host usually asks.
	familiar int
}

// tiers returns the parts of the request's endpoints, the likeliest first.
func (s *Surveyor) tiers(w wish.Wish) []tier {
	var own, others []group.Group
	for _, g := range w.Groups {
		if g.Region == s.region {
			own = append(own, g)
			continue
		}
		others = append(others, g)
	}
	if !s.hasOpen(own) {
		// As few familiar endpoints as looks, so that connections to them are there.
		return []tier{
			{groups: others, far: true, looks: awayLooks, familiar: awayLooks},
			{groups: others, far: true, looks: awayLooks, familiar: awayLooks, unfamiliar: true, last: true},
		}
	}
	return []tier{
		{groups: own, looks: looksAtOnce, familiar: familiar},
		{groups: own, looks: looksAtOnce, familiar: familiar, unfamiliar: true},
		{groups: others, far: true, looks: farLooks, familiar: familiar},
		{groups: others, far: true, looks: farLooks, familiar: familiar, unfamiliar: true, last: true},
	}
}

// hasOpen reports whether any of the groups has an endpoint that may get work.
func (s *Surveyor) hasOpen(groups []group.Group) bool {
	now := s.clock()
	return slices.ContainsFunc(groups, func(g group.Group) bool { return len(s.source.OpenEndpoints(now, g)) > 0 })
}

// isGood reports whether the endpoint should answer before the request's target.
func (s *Surveyor) isGood(c candidate, w wish.Wish) bool {
	return !c.isFull() && s.clock().Add(c.estimate).Before(w.Target)
}

// count counts the request in at its endpoint, unless that is cold and has got its share.
func (s *Surveyor) count(now time.Time, c candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knowledgeOf(&c.host)
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
