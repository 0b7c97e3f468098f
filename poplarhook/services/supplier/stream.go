package supplier

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/services/shelf"
	"poplarhook.example/poplarhook/services/subscriber"
)

// maxHops is through how many hosts the store may be heard: enough for fanout hosts to the fourth power in a region.
// Hosts that read from each other in a circle hear no more than that.
const maxHops = 4

// errTooFar says that the store is heard through too many hosts.
var errTooFar = errors.New("too many hosts between this one and the store")

// stream is one spell in which this host hears the store through another host.
type stream struct {
	s      *Supplier
	source host.Host
	begun  func()
	served bool
	// put takes in what the other host tells.
	put func(f frame.Frame) error
	// relayed says that the other host does not follow the store itself.
	relayed bool
	// below says that the other host is below this one in rank: others must not read from this host then, as the other
	// one would.
	below bool
}

// read follows the views of another host until that ends, and then keeps away from it for a while.
func (s *Supplier) read(ctx context.Context, source host.Host, begun func()) {
	startedAt := s.clock()
	r := &stream{s: s, source: source, begun: begun, below: s.isBelow(source), put: s.taker()}
	err := r.subscribe(ctx, s.firstLine())
	for errors.Is(err, shelf.ErrApart) && ctx.Err() == nil {
		// The other host's list as a whole is newer by now than this host's own.
		err = r.subscribe(ctx, s.times.serving)
	}
	if r.relayed && errors.Is(err, subscriber.ErrSilent) && ctx.Err() == nil {
		// The other host has lost its source at the same moment and is about to hear the next one.
		s.broadcaster.SetServing(false)
		err = r.subscribe(ctx, s.times.serving)
	}
	if ctx.Err() != nil {
		return
	}
	if r.served {
		s.setHeard(false)
		s.broadcaster.SetServing(false)
	}
	s.penalise(source.ID, s.clock().Sub(startedAt))
	s.logger.Warn("entry host lost as a source", zap.String("source", source.ID), zap.String("error", err.Error()))
}

// firstLine returns how long the first line of a source may take: a host that has just lost another one has no time left
// for a source that accepts connections but says nothing.
func (s *Supplier) firstLine() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		return s.times.serving
	}
	return s.times.silence
}

// subscribe reads the stream of the host, waiting for a short time until it serves; the first line must come within the
// given time.
func (r *stream) subscribe(ctx context.Context, first time.Duration) error {
	until := r.s.clock().Add(r.s.times.serving)
	for {
		err := r.s.subscriber.Read(ctx, r.source.PeerAddress, first, r.take)
		if !errors.Is(err, subscriber.ErrNotServing) || !r.s.clock().Before(until) {
			return err
		}
		if pauser.Pause(ctx, r.s.times.servingStep) != nil {
			return err
		}
	}
}

// take takes a frame in; signs of life go on to this host's own readers.
func (r *stream) take(f frame.Frame) error {
	if err := r.put(f); err != nil {
		return err
	}
	if f.IsPulse() {
		return r.pulse(f.Hops)
	}
	r.s.broadcaster.SetServing(!r.below)
	if r.served {
		return nil
	}
	r.served = true
	r.s.succeed()
	r.s.setHeard(true)
	r.s.counter("source_peer")
	r.s.logger.Info("following an entry host", zap.String("source", r.source.ID), zap.String("address", r.source.PeerAddress))
	r.begun()
	return nil
}

func (r *stream) pulse(hops int) error {
	if hops >= maxHops {
		return errTooFar
	}
	r.relayed = hops > 0
	if !r.below {
		r.s.broadcaster.Pulse(hops + 1)
	}
	return nil
}
