package supplier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
)

// session is a period in which this host receives updates from one source: the store itself, or another host.
type session struct {
	source host.Host
	stop   context.CancelFunc
	// started is closed once updates arrive, ended when the source no longer delivers any.
	started, ended chan struct{}
}

// startSession starts a session with the source; the source is this host itself if it is to follow the store.
func (s *Supplier) startSession(ctx context.Context, source host.Host) *session {
	ctx, stop := context.WithCancel(ctx)
	p := &session{source: source, stop: stop, started: make(chan struct{}), ended: make(chan struct{})}
	onStarted := sync.OnceFunc(func() { close(p.started) })
	go func() {
		defer close(p.ended)
		defer stop()
		if source.ID == s.self.ID {
			s.followStore(ctx, onStarted)
			return
		}
		s.followPeer(ctx, source, onStarted)
	}()
	return p
}

// hasStarted waits until the session starts, and reports whether it did so before it ended and within the limit.
func (p *session) hasStarted(limit time.Duration) bool {
	return p.hasStartedBefore(limit, nil)
}

// hasStartedBefore waits like hasStarted, but at most urgentWait longer once the urgent channel is closed.
func (p *session) hasStartedBefore(limit time.Duration, urgent <-chan struct{}) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-p.started:
			return true
		case <-p.ended:
			return false
		case <-timer.C:
			return false
		case <-urgent:
			urgent = nil
			timer.Reset(min(limit, urgentWait))
		}
	}
}

// end stops the session and waits until it has ended.
func (p *session) end() {
	p.stop()
	<-p.ended
}

// run keeps this host in one session after the other until the context ends.
func (s *Supplier) run(ctx context.Context) {
	defer s.broadcaster.Close()
	current := s.join(ctx)
	for ctx.Err() == nil {
		current = s.nextSession(ctx, current)
	}
	current.end()
}

const (
	// joinTimeout is how long a starting host waits for another host of its region to serve: hosts that start at the
	// same time need some time to find each other.
	joinTimeout = 700 * time.Millisecond
	// joinPause is the pause between two attempts to join.
	joinPause = 100 * time.Millisecond
	// urgentWait is how much longer a host waits for a source once it needs its views urgently: a source that serves
	// answers within a few milliseconds.
	urgentWait = 30 * time.Millisecond
	// maxUrgentSources is the number of hosts of a region, the highest-ranked ones, that may follow the store because
	// they need their views urgently; the others read from them. Each such host makes about eight calls to the store:
	// without the limit 86 of 105 hosts that started at the same time followed the store.
	maxUrgentSources = 5
)

// SetUrgent declares that this host needs its views urgently, which shortens its waits for other hosts that may serve.
func (s *Supplier) SetUrgent() {
	s.setUrgent()
}

// isUrgent reports whether this host needs its views urgently.
func (s *Supplier) isUrgent() bool {
	select {
	case <-s.urgent:
		return true
	default:
		return false
	}
}

// waitForNextJoin waits until the next attempt to join is due, which is sooner once the views are needed urgently.
func (s *Supplier) waitForNextJoin(ctx context.Context) {
	if s.isUrgent() {
		_ = pauser.Pause(ctx, urgentWait)
		return
	}
	ctx, stop := context.WithTimeout(ctx, joinPause)
	defer stop()
	select {
	case <-ctx.Done():
	case <-s.urgent:
	}
}

// join returns the first session: with another host that serves if there is one, otherwise with the store itself.
func (s *Supplier) join(ctx context.Context) *session {
	deadline := s.clock().Add(joinTimeout)
	for ctx.Err() == nil && s.clock().Before(deadline) {
		s.findMembers(ctx)
		source := s.nextSource()
		if source.ID != s.self.ID {
			p := s.startSession(ctx, source)
			if p.hasStartedBefore(s.times.sessionStartTimeout(), s.urgent) {
				return p
			}
			p.end()
		}
		s.clearPenalties()
		if s.isUrgent() {
			if p, started := s.joinUrgently(ctx); started {
				return p
			}
		}
		if source.ID == s.self.ID && len(s.members.Get().Items) > 1 {
			break
		}
		s.waitForNextJoin(ctx)
	}
	return s.startSession(ctx, s.nextSource())
}

// joinUrgently starts a session with the first of the maxUrgentSources best sources that serves. This host counts as
// serving if it is among them. The second result reports whether there was such a source.
func (s *Supplier) joinUrgently(ctx context.Context) (*session, bool) {
	sources := sourcesFor(s.self, s.members.Get().Items, s.fanout)
	for _, source := range sources[:min(maxUrgentSources, len(sources))] {
		p := s.startSession(ctx, source)
		if source.ID == s.self.ID || p.hasStarted(urgentWait) {
			return p, true
		}
		p.end()
	}
	return nil, false
}

// nextSession waits until the session ends or a review of the sources is due, and returns the session to continue with.
func (s *Supplier) nextSession(ctx context.Context, current *session) *session {
	timer := time.NewTimer(s.times.reviewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return current
	case <-current.ended:
		s.recordFailure()
		return s.startSession(ctx, s.nextSource())
	case <-s.storeLost:
	case <-timer.C:
	}
	better := s.betterSource(current)
	if better.ID == current.source.ID {
		return current
	}
	next := s.startSession(ctx, better)
	if !next.hasStartedBefore(s.times.sessionStartTimeout(), current.ended) {
		next.end()
		return current
	}
	s.logger.Info("source changed", zap.String("from", current.source.ID), zap.String("to", better.ID))
	current.end()
	return next
}
