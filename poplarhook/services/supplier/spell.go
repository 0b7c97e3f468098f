package supplier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
)

// spell is a time in which this host hears the store in one way: itself, or through another host.
type spell struct {
	source host.Host
	stop   context.CancelFunc
	// begun is closed once the store is heard, ended when it is heard no longer in this way.
	begun, ended chan struct{}
}

// begin starts a spell with the source, which may be this host itself.
func (s *Supplier) begin(ctx context.Context, source host.Host) *spell {
	ctx, stop := context.WithCancel(ctx)
	p := &spell{source: source, stop: stop, begun: make(chan struct{}), ended: make(chan struct{})}
	begun := sync.OnceFunc(func() { close(p.begun) })
	go func() {
		defer close(p.ended)
		defer stop()
		if source.ID == s.self.ID {
			s.follow(ctx, begun)
			return
		}
		s.read(ctx, source, begun)
	}()
	return p
}

// hasBegun waits for the begin of the spell, and reports whether it came before its end and within the limit.
func (p *spell) hasBegun(limit time.Duration) bool {
	return p.hasBegunBefore(limit, nil)
}

// hasBegunBefore waits as hasBegun does, but only a little longer once the other channel is closed.
func (p *spell) hasBegunBefore(limit time.Duration, urgent <-chan struct{}) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-p.begun:
			return true
		case <-p.ended:
			return false
		case <-timer.C:
			return false
		case <-urgent:
			urgent = nil
			timer.Reset(min(limit, hurriedWait))
		}
	}
}

// end ends the spell.
func (p *spell) end() {
	p.stop()
	<-p.ended
}

// run hears the store in one way after the other until the context ends.
func (s *Supplier) run(ctx context.Context) {
	defer s.broadcaster.Close()
	current := s.join(ctx)
	for ctx.Err() == nil {
		current = s.keep(ctx, current)
	}
	current.end()
}

const (
	// joinTime is how long a starting host waits for another one of its region to serve: hosts that start together
	// need some time to find each other.
	joinTime = 700 * time.Millisecond
	joinStep = 100 * time.Millisecond
	// hurriedWait is how much longer a host waits for a source once it needs its views at once: one that serves does so
	// within a few milliseconds.
	hurriedWait = 30 * time.Millisecond
	// hurriedSources is how many hosts of a region, the first in rank, may follow the store because they need their views
	// at once; the others read from them. Each costs some eight calls: when all 105 hosts of a deployment started at once,
	// 86 of them did so.
	hurriedSources = 5
)

// Hurry tells that this host needs its views at once: it follows the store itself unless another host serves.
func (s *Supplier) Hurry() {
	s.hurry()
}

// isHurried reports whether this host needs its views at once.
func (s *Supplier) isHurried() bool {
	select {
	case <-s.hurried:
		return true
	default:
		return false
	}
}

// pauseJoining waits for the next try to join, for a shorter time once the host needs its views at once.
func (s *Supplier) pauseJoining(ctx context.Context) {
	if s.isHurried() {
		_ = pauser.Pause(ctx, hurriedWait)
		return
	}
	ctx, stop := context.WithTimeout(ctx, joinStep)
	defer stop()
	select {
	case <-ctx.Done():
	case <-s.hurried:
	}
}

// join looks for a host that serves before this one follows the store itself.
func (s *Supplier) join(ctx context.Context) *spell {
	until := s.clock().Add(joinTime)
	for ctx.Err() == nil && s.clock().Before(until) {
		s.findMembers(ctx)
		source := s.choose()
		if source.ID != s.self.ID {
			p := s.begin(ctx, source)
			if p.hasBegunBefore(s.times.beginning(), s.hurried) {
				return p
			}
			p.end()
		}
		s.forgive()
		if s.isHurried() {
			if p, begun := s.joinAtOnce(ctx); begun {
				return p
			}
		}
		if source.ID == s.self.ID && len(s.members.Get().Items) > 1 {
			break
		}
		s.pauseJoining(ctx)
	}
	return s.begin(ctx, s.choose())
}

// joinAtOnce begins a spell with the first host that serves of those that are first in rank, or with this one if it is
// among them, and reports whether there was one.
func (s *Supplier) joinAtOnce(ctx context.Context) (*spell, bool) {
	sources := sourcesFor(s.self, s.members.Get().Items, s.fanout)
	for _, source := range sources[:min(hurriedSources, len(sources))] {
		p := s.begin(ctx, source)
		if source.ID == s.self.ID || p.hasBegun(hurriedWait) {
			return p, true
		}
		p.end()
	}
	return nil, false
}

// keep waits until the spell ends or a better source begins to serve, and returns the spell that goes on.
func (s *Supplier) keep(ctx context.Context, current *spell) *spell {
	timer := time.NewTimer(s.times.review)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return current
	case <-current.ended:
		s.fail()
		return s.begin(ctx, s.choose())
	case <-s.storeLost:
	case <-timer.C:
	}
	better := s.better(current)
	if better.ID == current.source.ID {
		return current
	}
	next := s.begin(ctx, better)
	if !next.hasBegunBefore(s.times.beginning(), current.ended) {
		next.end()
		return current
	}
	s.logger.Info("source changed", zap.String("from", current.source.ID), zap.String("to", better.ID))
	current.end()
	return next
}
