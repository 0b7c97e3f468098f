package selector

import (
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
)

// Observe records what the head of an answer states about the endpoint of the binding: that it is leaving, or wants a
// pause. It holds for selection and probes at once, before the exchange has ended.
func (s *Selector) Observe(b binding.Binding, r report.Report) {
	if !r.Leaving && r.QuietFor <= 0 {
		return
	}
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordStatements(now, b.Endpoint, r)
}

// recordStatements records that the endpoint is leaving or wants a pause, if the report says so. A statement of another
// endpoint at the address says nothing of this one. The caller holds the lock.
func (s *Selector) recordStatements(now time.Time, h host.Host, r report.Report) {
	if r.Incarnation != "" && r.Incarnation != h.ID {
		return
	}
	if r.Leaving && s.excluder.RecordLeaving(now, h.ID, h.Incarnation) {
		s.counter("endpoint_leaving")
		s.logger.Info("endpoint states that it is leaving", zap.String("endpoint", h.ID), zap.String("incarnation", h.Incarnation))
	}
	if s.excluder.RecordQuiet(now, h.ID, h.Incarnation, r.QuietFor) {
		s.counter("endpoint_quiet")
		s.logger.Info("endpoint wants no requests for some time", zap.String("endpoint", h.ID), zap.String("incarnation", h.Incarnation),
			zap.Duration("asked_for", r.QuietFor), zap.Time("until", s.excluder.QuietUntil(h.ID, h.Incarnation)))
	}
}

// quietTime returns how long it takes until the first of the request's endpoints ends its quiet time, zero if any of them
// may get requests. Endpoints that are leaving or replaced do not count, as they will get none.
func (s *Selector) quietTime(req requirement.Requirement) time.Duration {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var shortest time.Duration
	for _, g := range req.Groups {
		open := s.source.OpenEndpoints(now, g)
		for i := range open {
			h := &open[i]
			if s.stateOf(h).replaced || s.excluder.IsLeaving(h.ID, h.Incarnation) {
				continue
			}
			left := s.excluder.QuietUntil(h.ID, h.Incarnation).Sub(now)
			if left <= 0 {
				return 0
			}
			if shortest == 0 || left < shortest {
				shortest = left
			}
		}
	}
	return shortest
}

// quietRetrySpread is the range of the time over which callers come back after the quiet time of all endpoints, so that
// they do not come back together.
const quietRetrySpread = 500 * time.Millisecond

// QuietRetryAfter returns when a caller may retry if all endpoints of its request want a pause, zero if they do not.
func (s *Selector) QuietRetryAfter(req requirement.Requirement) time.Duration {
	quiet := s.quietTime(req)
	if quiet == 0 {
		return 0
	}
	return s.retryAfterQuiet(quiet)
}

// retryAfterQuiet returns when a caller may retry if the first endpoint takes requests again after the given time.
func (s *Selector) retryAfterQuiet(quiet time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return quiet + time.Duration(s.random.Float64()*float64(min(quiet, quietRetrySpread)))
}
