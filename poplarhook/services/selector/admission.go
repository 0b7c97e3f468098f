package selector

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/models/shedder"
)

// WithAdmissionByCost admits requests by their weight and their work instead of by their target alone.
func WithAdmissionByCost(weights shedder.Weights) Option {
	return func(s *Selector) { s.shedder = shedder.New(weights) }
}

const (
	// waiterProbeInterval is how long the first waiting request does without a report before it probes. Under load it uses
	// the reports that come with the answers to this host.
	waiterProbeInterval = 30 * time.Millisecond
	// waiterReportAge is how old a report may be by which a waiting request is sent.
	waiterReportAge = 10 * time.Millisecond
)

// bindByCost binds the request to an endpoint, makes it wait for a free slot or refuses it. Only the first of the waiting
// requests looks for a slot, and only the reports that arrive anyway between two rounds of probes.
func (s *Selector) bindByCost(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	if req.Repeats {
		return s.bindRepeat(ctx, req)
	}
	if req.Excluded == "" {
		s.mu.Lock()
		s.shedder.Offer(s.clock(), s.requestOf(req))
		s.mu.Unlock()
	}
	if decision, behind := s.decideBehindWaiters(req); behind {
		if decision.Action == shedder.Refuse {
			return binding.Binding{}, s.refuseByCost(req, "bind_refused_behind", basicFields(req))
		}
		return s.waitForSlot(ctx, req, decision.Wait)
	}
	for {
		best, found, err := s.findAnswered(ctx, req)
		if err != nil {
			return binding.Binding{}, err
		}
		if !found {
			return binding.Binding{}, s.refuseWithoutEndpoint(ctx, req)
		}
		switch decision := s.decideByCost(best, req); decision.Action {
		case shedder.Refuse:
			return binding.Binding{}, s.refuseByCost(req, "bind_refused", s.refusedFields(best, req))
		case shedder.Wait:
			return s.waitForSlot(ctx, req, decision.Wait)
		case shedder.Send:
			if b, bound := s.bindServed(best, req); bound {
				return b, nil
			}
		}
	}
}

// bindRepeat binds an attempt that repeats work which may be under way. It only takes an endpoint with a free slot that
// stays below its high load, and leaves the others to first attempts.
func (s *Selector) bindRepeat(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	best, found := s.findBest(ctx, req)
	if !found {
		return binding.Binding{}, s.refuseWithoutEndpoint(ctx, req)
	}
	if c, known := s.caseAt(best, req); c.HasFreeSlot && c.IsBelowHighLoad || !known && best.hasFreeSlot() {
		if b, bound := s.bindTo(best, req); bound {
			return b, nil
		}
	}
	return binding.Binding{}, s.refuseByCost(req, "bind_repeat_refused", s.refusedFields(best, req))
}

// waitForSlot makes the request wait at this host until it is bound, for the given time at the longest.
func (s *Selector) waitForSlot(ctx context.Context, req requirement.Requirement, longest time.Duration) (binding.Binding, error) {
	service, since := req.Groups[0].Service, s.clock()
	s.mu.Lock()
	w, entered := s.shedder.Enter(service, s.shedder.Standing(since, s.requestOf(req)).Value, since.Add(longest))
	s.mu.Unlock()
	if !entered {
		return binding.Binding{}, s.refuseByCost(req, "bind_wait_full", basicFields(req))
	}
	s.counter("bind_waited")
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shedder.Leave(service, w)
	}()
	expired := time.NewTimer(longest)
	defer expired.Stop()
	probe := time.NewTicker(waiterProbeInterval)
	defer probe.Stop()
	for {
		var best candidate
		var found bool
		select {
		case <-ctx.Done():
			return binding.Binding{}, s.refuseByCost(req, "bind_wait_cancelled", basicFields(req))
		case <-expired.C:
			return binding.Binding{}, s.refuseByCost(req, "bind_wait_expired", basicFields(req))
		case _, open := <-w.Wake:
			if !open {
				return binding.Binding{}, s.refuseByCost(req, "bind_wait_displaced", basicFields(req))
			}
			probe.Reset(waiterProbeInterval)
			best, found = s.findReported(req)
		case <-probe.C:
			if !s.isFirstWaiter(service, w) {
				continue
			}
			s.counter("bind_wait_probed")
			best, found = s.findBest(ctx, req)
		}
		if !found || best.unanswered || s.decideByCost(best, req).Action != shedder.Send {
			continue
		}
		if b, bound := s.bindServed(best, req); bound {
			s.logger.Info("waiting request sent", zap.String("request", req.RequestID), zap.Duration("waited", s.clock().Sub(since)))
			return b, nil
		}
	}
}

func (s *Selector) isFirstWaiter(service string, w *shedder.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedder.IsFirst(service, w)
}

// findReported returns the best endpoint of the own region by recent reports, without probes.
func (s *Selector) findReported(req requirement.Requirement) (best candidate, found bool) {
	for _, t := range s.tiers(req) {
		if t.remote {
			continue
		}
		known, _ := s.splitByReport(req, s.rankEndpoints(req, t), waiterReportAge)
		for _, c := range known {
			if !found || c.estimate < best.estimate {
				best, found = c, true
			}
		}
	}
	return best, found
}

// decideBehindWaiters decides about a request without a look at endpoints if a more valuable one waits.
func (s *Selector) decideBehindWaiters(req requirement.Requirement) (decision shedder.Decision, behind bool) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.caseOf(now, req)
	c.Answer = estimator.Estimate(s.serviceTimeOf(req), estimator.State{Slots: 1, SlowFactor: 1})
	latestStart := now.Add(min(c.Target, c.Deadline) - c.Answer)
	ahead := s.shedder.Ahead(req.Groups[0].Service, c.Standing.Value, latestStart)
	if ahead == 0 {
		return shedder.Decision{}, false
	}
	c.UntilFree = s.shedder.UntilFree(now, req.Groups[0].Service, c.Standing.Value, ahead)
	return shedder.DecideUnseen(c), true
}

// decideByCost decides about a request whose best endpoint is known.
func (s *Selector) decideByCost(best candidate, req requirement.Requirement) shedder.Decision {
	c, known := s.caseAt(best, req)
	if !known {
		return shedder.Decision{Action: shedder.Send}
	}
	return shedder.Decide(c)
}

// caseAt returns what is known of the request and its best endpoint, and false if the load of the endpoint is not known.
func (s *Selector) caseAt(best candidate, req requirement.Requirement) (c shedder.Case, known bool) {
	if best.unanswered || !best.report.HasLoad {
		return shedder.Case{}, false
	}
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	c = s.caseOf(now, req)
	slots := max(best.report.Slots, 1)
	running := best.report.InFlight + max(s.stateOf(&best.host).inFlight-best.inFlightBefore, 0)
	queued := max(running+best.report.Waiting+1-slots, 0)
	// The estimate of the endpoint's queue takes the request's own work for each one that waits there.
	own := time.Duration(float64(best.estimate) / (1 + float64(queued)/float64(slots)))
	c.Answer = own
	if work := s.serviceTimeOf(req); work > 0 {
		mean := s.shedder.MeanWork(now, req.Groups[0].Service)
		c.QueueWait = time.Duration(float64(own) * float64(queued) / float64(slots) * mean.Seconds() / work.Seconds())
	}
	c.Slots, c.Waiting = slots, best.report.Waiting+max(running-slots, 0)
	c.HasFreeSlot = running < slots && best.report.Waiting == 0
	c.IsBelowHighLoad = estimator.IsBelowHighLoad(running+best.report.Waiting, slots)
	latestStart := now.Add(min(c.Target, c.Deadline) - c.Answer)
	c.UntilFree = s.shedder.UntilFree(now, req.Groups[0].Service, c.Standing.Value, s.shedder.Ahead(req.Groups[0].Service, c.Standing.Value, latestStart))
	return c, true
}

// caseOf returns what is known of the request without an endpoint. The caller holds the lock.
func (s *Selector) caseOf(now time.Time, req requirement.Requirement) shedder.Case {
	return shedder.Case{
		Standing: s.shedder.Standing(now, s.requestOf(req)),
		Urgency:  req.Urgency,
		Target:   req.Target.Sub(now),
		Deadline: req.Deadline.Sub(now),
		IsGuess:  !s.estimator.Knows(req.Class),
	}
}

// requestOf returns what the standing of the request depends on. The caller holds the lock.
func (s *Selector) requestOf(req requirement.Requirement) shedder.Request {
	return shedder.Request{Service: req.Groups[0].Service, Class: req.Class, Urgency: req.Urgency, Work: s.serviceTimeOf(req)}
}

// bindServed binds the request to the endpoint and counts it as served, and reports whether that was possible.
func (s *Selector) bindServed(best candidate, req requirement.Requirement) (binding.Binding, bool) {
	b, bound := s.bindTo(best, req)
	if bound && req.Excluded == "" {
		s.mu.Lock()
		s.shedder.Serve(s.clock(), s.requestOf(req))
		s.mu.Unlock()
	}
	return b, bound
}

func basicFields(req requirement.Requirement) []zap.Field {
	return []zap.Field{zap.String("request", req.RequestID), zap.String("class", req.Class)}
}

// refuseByCost counts and logs the refusal by its reason and returns it with a time of return.
func (s *Selector) refuseByCost(req requirement.Requirement, reason string, fields []zap.Field) error {
	now := s.clock()
	s.mu.Lock()
	wait := s.shedder.ReturnAfter(now, req.Groups[0].Service, s.random.Float64())
	standing := s.shedder.Standing(now, s.requestOf(req))
	s.mu.Unlock()
	s.counter(reason)
	s.logger.Warn("request refused by cost", append(fields, zap.String("reason", reason), zap.Duration("retry_after", wait),
		zap.Float64("value", standing.Value), zap.Bool("starved", standing.Starved), zap.Bool("yields", standing.Yields))...)
	return refusal.NotRun(http.StatusServiceUnavailable, "no endpoint would answer in time").WithRetryAfter(wait)
}
