package arbiter

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

// maxResendsPerTick is how many unsent frames are sent again at one Tick.
const maxResendsPerTick = 8

// QueueUnsent queues a frame that could not be sent, for example because the control budget was exceeded; it is
// sent again at the next Tick.
//
// Without this, a credit that its borrower never receives would stay lent indefinitely, and the owner would never
// learn of a release. Demands and recalls are not queued, as they are repeated anyway.
func (a *Arbiter) QueueUnsent(to string, frame *wire.Frame) {
	switch frame.GetBody().(type) {
	case *wire.Frame_Demand, *wire.Frame_Recall:
		return
	case *wire.Frame_Release, *wire.Frame_Holding:
	default:
		if a.isQueuedUnsent(to, frame) {
			return
		}
	}
	a.unsentFrames = append(a.unsentFrames, effect.Outgoing{To: to, Frame: frame})
}

// isQueuedUnsent reports whether an equal frame is queued already, which happens with repeated credits and sightings.
func (a *Arbiter) isQueuedUnsent(to string, frame *wire.Frame) bool {
	return slices.ContainsFunc(a.unsentFrames, func(o effect.Outgoing) bool {
		return o.To == to && proto.Equal(o.Frame, frame)
	})
}

// resendUnsentFrames takes the unsent frames that have waited longest, at most maxResendsPerTick, and returns them to
// be sent; the caller queues those again that cannot be sent now.
func (a *Arbiter) resendUnsentFrames() effect.Effect {
	n := min(len(a.unsentFrames), maxResendsPerTick)
	e := effect.Effect{Frames: slices.Clone(a.unsentFrames[:n])}
	a.unsentFrames = slices.Delete(a.unsentFrames, 0, n)
	return e
}

// dropUnsentFrames drops the unsent frames for a peer whose link is lost or new, since the peer and the owner start
// counting the peer's credits anew.
func (a *Arbiter) dropUnsentFrames(peer string) {
	a.unsentFrames = slices.DeleteFunc(a.unsentFrames, func(o effect.Outgoing) bool { return o.To == peer })
}
