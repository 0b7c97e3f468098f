package supplier

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/services/replica"
	"poplarhook.example/poplarhook/services/subscriber"
)

// maxHops is the largest number of hosts between a host and the store, enough for fanout^4 hosts in a region. It also
// ends the sessions of hosts that read from each other in a cycle.
const maxHops = 4

// errTooManyHops means that the updates of the store pass through too many hosts.
var errTooManyHops = errors.New("too many hosts between this one and the store")

// peerSession is one session in which this host reads the store's updates from another host.
type peerSession struct {
	supplier  *Supplier
	source    host.Host
	onStarted func()
	// receivedView is true once the source has sent a frame with a view.
	receivedView bool
	// apply applies a frame of the source to the local views.
	apply func(f frame.Frame) error
	// confirmation reads the confirmations in the heartbeats of the current stream.
	confirmation *peerConfirmation
	// isSourceRelayed is true if the source does not follow the store itself.
	isSourceRelayed bool
	// isSourceLower is true if the source is ranked lower than this host. Other hosts must not read from this host then,
	// because the source would do so too and no host would follow the store.
	isSourceLower bool
}

// followPeer reads the views of the source until its stream ends for good, and then gives the source a penalty: it is
// not chosen again for a while. It gives no penalty if the context ended.
func (s *Supplier) followPeer(ctx context.Context, source host.Host, onStarted func()) {
	startedAt := s.clock()
	r := &peerSession{
		supplier: s, source: source, onStarted: onStarted, isSourceLower: s.isLowerRanked(source), apply: s.frameApplier(),
	}
	err := r.subscribe(ctx, s.firstLineTimeout())
	for (errors.Is(err, replica.ErrBaseMismatch) || errors.Is(err, errAnchorExpired)) && ctx.Err() == nil {
		// After a mismatch the complete list of the source is newer than the local one by now, so reading it again resolves the
		// mismatch.
		err = r.subscribe(ctx, s.times.servingTimeout)
	}
	if r.isSourceRelayed && errors.Is(err, subscriber.ErrSilent) && ctx.Err() == nil {
		// The source reads from another host and its stream broke off or fell silent: it probably lost its own source at the
		// same time as this host lost the stream, and may soon get updates from another one. It is therefore tried again
		// before it gets a penalty; this host accepts no new readers until the source sends a view again.
		s.broadcaster.SetServing(false)
		err = r.subscribe(ctx, s.times.servingTimeout)
	}
	if ctx.Err() != nil {
		return
	}
	if r.receivedView {
		s.setUpToDate(false)
		s.broadcaster.SetServing(false)
	}
	s.addPenalty(source.ID, s.clock().Sub(startedAt))
	s.logger.Warn("source entry host lost", zap.String("source", source.ID), zap.String("error", err.Error()))
}

// firstLineTimeout returns how long this host waits for the first line of a source's stream. It is shorter after a
// failed source: no time is left then for another one that accepts connections but sends nothing.
func (s *Supplier) firstLineTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedSources > 0 {
		return s.times.servingTimeout
	}
	return s.times.silenceTimeout
}

// subscribe reads the stream of the source until it ends. While the source accepts no readers yet, it tries again for
// at most servingTimeout. The first line must arrive within firstLineTimeout.
func (r *peerSession) subscribe(ctx context.Context, firstLineTimeout time.Duration) error {
	deadline := r.supplier.clock().Add(r.supplier.times.servingTimeout)
	for {
		r.confirmation = r.supplier.newPeerConfirmation()
		err := r.supplier.subscriber.Read(ctx, r.source.PeerAddress, firstLineTimeout, r.handleFrame)
		if !errors.Is(err, subscriber.ErrNotServing) || !r.supplier.clock().Before(deadline) {
			return err
		}
		if pauser.Pause(ctx, r.supplier.times.servingRetryPause) != nil {
			return err
		}
	}
}

// handleFrame applies a frame of the source to the local views, and forwards heartbeats to this host's own readers. At
// the first frame with a view the session counts as started.
func (r *peerSession) handleFrame(f frame.Frame) error {
	if err := r.apply(f); err != nil {
		return err
	}
	if f.IsHeartbeat() {
		return r.handleHeartbeat(f)
	}
	r.supplier.broadcaster.SetServing(!r.isSourceLower)
	if r.receivedView {
		return nil
	}
	r.receivedView = true
	r.supplier.recordSuccess()
	r.supplier.setUpToDate(true)
	r.supplier.counter("source_peer")
	r.supplier.logger.Info("following another entry host", zap.String("source", r.source.ID), zap.String("address", r.source.PeerAddress))
	r.onStarted()
	return nil
}

// handleHeartbeat records whether the source follows the store itself (zero hops) and passes the heartbeat on to this
// host's readers with one hop more, unless the source is ranked lower. It fails if the source is maxHops or more away
// from the store, and if its confirmations do not suffice.
func (r *peerSession) handleHeartbeat(f frame.Frame) error {
	if f.Hops >= maxHops {
		return errTooManyHops
	}
	r.isSourceRelayed = f.Hops > 0
	err := r.confirmation.record(f)
	if !r.isSourceLower {
		r.supplier.broadcaster.SendHeartbeat(f.Hops + 1)
	}
	return err
}
