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
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.begun:
		return true
	case <-p.ended:
	case <-timer.C:
	}
	return false
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
)

// join looks for a host that serves before this one follows the store itself.
func (s *Supplier) join(ctx context.Context) *spell {
	until := s.clock().Add(joinTime)
	for ctx.Err() == nil && s.clock().Before(until) {
		s.findMembers(ctx)
		source := s.choose()
		if source.ID != s.self.ID {
			p := s.begin(ctx, source)
			if p.hasBegun(s.times.beginning()) {
				return p
			}
			p.end()
		}
		s.forgive()
		if source.ID == s.self.ID && len(s.members.Get().Items) > 1 {
			break
		}
		_ = pauser.Pause(ctx, joinStep)
	}
	return s.begin(ctx, s.choose())
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
	case <-timer.C:
	}
	better := s.prefer()
	if better.ID == current.source.ID {
		return current
	}
	next := s.begin(ctx, better)
	if !next.hasBegun(s.times.beginning()) {
		next.end()
		return current
	}
	s.logger.Info("source changed", zap.String("from", current.source.ID), zap.String("to", better.ID))
	current.end()
	return next
}
