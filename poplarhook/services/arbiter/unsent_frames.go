package arbiter

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

// resendAtOnce is how many unsent frames are tried again at one Tick.
const resendAtOnce = 8

// Unsent takes back a frame that could not be sent, such as one over the control budget; it is tried again at the next Tick.
//
// A credit that its borrower never receives would stay lent for good, and a
// release would be lost to the owner. Demands and recalls are not kept, as
// they are repeated anyway.
func (a *Arbiter) Unsent(to string, frame *wire.Frame) {
	switch frame.GetBody().(type) {
	case *wire.Frame_Demand, *wire.Frame_Recall:
		return
	case *wire.Frame_Release, *wire.Frame_Holding:
	default:
		if a.isUnsent(to, frame) {
			return
		}
	}
	a.unsent = append(a.unsent, effect.Outgoing{To: to, Frame: frame})
}

// isUnsent reports whether an equal frame waits already, as a repeated answer or sighting is.
func (a *Arbiter) isUnsent(to string, frame *wire.Frame) bool {
	return slices.ContainsFunc(a.unsent, func(o effect.Outgoing) bool {
		return o.To == to && proto.Equal(o.Frame, frame)
	})
}

// resend tries the frames that have waited longest; those that cannot be sent now come back through Unsent.
func (a *Arbiter) resend() effect.Effect {
	n := min(len(a.unsent), resendAtOnce)
	e := effect.Effect{Frames: slices.Clone(a.unsent[:n])}
	a.unsent = slices.Delete(a.unsent, 0, n)
	return e
}

// dropUnsent forgets what waits for a peer whose link is gone or new, since both sides count anew.
func (a *Arbiter) dropUnsent(peer string) {
	a.unsent = slices.DeleteFunc(a.unsent, func(o effect.Outgoing) bool { return o.To == peer })
}
