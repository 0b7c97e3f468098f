package surveyor

import (
	"context"
	"net/http"
	"time"

	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/wish"
)

const (
	// lookWait is how long a request waits for looks in its own region, in excess of the way.
	lookWait = 15 * time.Millisecond
	// lookTimeout bounds a look, whose answer counts also after the request has stopped waiting for it.
	lookTimeout = time.Second
)

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
	k := s.knowledgeOf(&c.host)
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
	k := s.knowledgeOf(&c.host)
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
