package supplier

import (
	"time"

	"poplarhook.example/poplarhook/models/frame"
)

// rolloutKinds is the number of kinds that are watched in addition where orders to move services to other versions are
// carried out.
const rolloutKinds = 2

// hasRollouts reports whether the store has the orders to move services to other versions and their states.
func (s *Supplier) hasRollouts() bool {
	return s.store.Orders != nil && s.store.RolloutStates != nil
}

// FollowsStore reports whether this host follows the store itself and the store has answered its last poll.
func (s *Supplier) FollowsStore() bool {
	return s.storeReachable.Load()
}

// appendRollouts appends the complete views of orders and their states. They come before the endpoints, so that a reader
// knows the order before it sees endpoints of a new version.
func (s *Supplier) appendRollouts(frames []frame.Frame) []frame.Frame {
	if !s.hasRollouts() {
		return frames
	}
	frames = appendComplete(s, frames, feedOrders, s.orders.Get())
	return appendComplete(s, frames, feedRolloutStates, s.rolloutStates.Get())
}

// applyRolloutFrame applies a frame of orders or their states, and ignores every other one.
func (s *Supplier) applyRolloutFrame(f frame.Frame, now time.Time) error {
	switch {
	case !s.hasRollouts():
		return nil
	case f.Feed == feedOrders:
		return putView(s.orders, f, now)
	case f.Feed == feedRolloutStates:
		return putView(s.rolloutStates, f, now)
	default:
		return nil
	}
}
