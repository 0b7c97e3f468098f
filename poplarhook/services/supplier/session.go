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

// awaitStart waits until the source's updates arrive, and reports whether they did so before the session ended and
// within the limit.
func (p *session) awaitStart(limit time.Duration) bool {
	return p.awaitStartShortened(limit, nil)
}

// awaitStartShortened waits like awaitStart, but at most urgentWait longer once the shorten channel is closed.
func (p *session) awaitStartShortened(limit time.Duration, shorten <-chan struct{}) bool {
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
		case <-shorten:
			shorten = nil
			timer.Reset(min(limit, urgentWait))
		}
	}
}

// end stops reading from the session's source and waits until the session's goroutine has ended.
func (p *session) end() {
	p.stop()
	<-p.ended
}

// runSessions keeps this host in one session after the other until the context ends.
func (s *Supplier) runSessions(ctx context.Context) {
	defer s.broadcaster.Close()
	current := s.startFirstSession(ctx)
	for ctx.Err() == nil {
		current = s.nextSession(ctx, current)
	}
	current.end()
}

const (
	// joinTimeout is how long a starting host waits for another host of its region to accept readers: hosts that start
	// at the same time as each other need some time to find each other.
	joinTimeout = 700 * time.Millisecond
	// joinPause is the pause between two attempts to join.
	joinPause = 100 * time.Millisecond
	// urgentWait is how much longer a host waits for a source once it needs its views urgently: a source that
	// accepts readers answers within a few milliseconds.
	urgentWait = 30 * time.Millisecond
	// maxUrgentSources is the number of hosts of a region, the highest-ranked ones, that may follow the store because
	// they need their views urgently; the others read from them. Each such host makes about eight calls to the store:
	// without the limit 86 of 105 hosts that started at the same time followed the store.
	maxUrgentSources = 5
)

// SetUrgent declares that this host needs its views urgently. While it starts its first session it
// then waits at most urgentWait longer for each source, and follows the store itself if it is among the first
// maxUrgentSources of its sources and none before it accepts readers.
func (s *Supplier) SetUrgent() {
	s.setUrgent()
}

// isUrgent reports whether SetUrgent was called.
func (s *Supplier) isUrgent() bool {
	select {
	case <-s.urgent:
		return true
	default:
		return false
	}
}

// waitForNextJoin waits joinPause until the next attempt to join. Once SetUrgent is called it ends that wait, and later
// ones last only urgentWait.
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

// startFirstSession starts and returns the first session: with another host that accepts readers if there is one,
// otherwise with the store itself.
func (s *Supplier) startFirstSession(ctx context.Context) *session {
	deadline := s.clock().Add(joinTimeout)
	for ctx.Err() == nil && s.clock().Before(deadline) {
		s.findMembers(ctx)
		source := s.nextSource()
		if source.ID != s.self.ID {
			p := s.startSession(ctx, source)
			if p.awaitStartShortened(s.times.sessionStartTimeout(), s.urgent) {
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

// joinUrgently starts a session with the first of the maxUrgentSources best sources that accepts readers. If this host
// is among them and none before it does, it follows the store itself. The second result reports whether a session was
// started.
func (s *Supplier) joinUrgently(ctx context.Context) (*session, bool) {
	sources := sourcesFor(s.self, s.members.Get().Items, s.fanout)
	for _, source := range sources[:min(maxUrgentSources, len(sources))] {
		p := s.startSession(ctx, source)
		if source.ID == s.self.ID || p.awaitStart(urgentWait) {
			return p, true
		}
		p.end()
	}
	return nil, false
}

// nextSession waits until the current session ends, the store stops answering this host or reviewInterval has passed.
// It returns the session to continue with: the current one, or a new one with another source.
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
	if !next.awaitStartShortened(s.times.sessionStartTimeout(), current.ended) {
		next.end()
		return current
	}
	s.logger.Info("source changed", zap.String("from", current.source.ID), zap.String("to", better.ID))
	current.end()
	return next
}
