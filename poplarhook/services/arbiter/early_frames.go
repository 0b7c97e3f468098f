package arbiter

import (
	"slices"
	"time"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

const (
	// earlyFrameRetention is how long a host that does not own the group yet keeps a frame for the owner.
	earlyFrameRetention = time.Second
	// maxEarlyFrames is the maximum number of early frames that are kept for the group.
	maxEarlyFrames = 512
)

// earlyFrame is a frame for the owner that arrived before this host knew that it owns the group.
type earlyFrame struct {
	from      string
	frame     *wire.Frame
	arrivedAt time.Time
}

// queueEarlyFrame keeps a frame that a borrower sent to this host as the owner. The first holding frame of a borrower
// replaces all earlier frames from it.
//
// When maxEarlyFrames is reached all early frames of the group are dropped, since one missing release would leave its
// credit lent.
func (a *Arbiter) queueEarlyFrame(now time.Time, from string, frame *wire.Frame) {
	if frame.GetHolding().GetFirst() {
		a.dropEarlyFrames(from)
	}
	if len(a.earlyFrames) >= maxEarlyFrames {
		a.earlyFrames = nil
	}
	a.earlyFrames = append(a.earlyFrames, earlyFrame{from: from, frame: frame, arrivedAt: now})
}

// dropEarlyFrames drops the early frames that a peer sent as a borrower, since the peer and the owner start counting
// the peer's credits anew.
func (a *Arbiter) dropEarlyFrames(peer string) {
	a.earlyFrames = slices.DeleteFunc(a.earlyFrames, func(f earlyFrame) bool { return f.from == peer })
}

// expireEarlyFrames drops early frames older than earlyFrameRetention, together with all other early frames from the
// same borrower.
func (a *Arbiter) expireEarlyFrames(now time.Time) {
	for len(a.earlyFrames) > 0 && now.Sub(a.earlyFrames[0].arrivedAt) > earlyFrameRetention {
		a.dropEarlyFrames(a.earlyFrames[0].from)
	}
}

// receiveEarlyFrames handles the early frames once this host owns the group.
func (a *Arbiter) receiveEarlyFrames(now time.Time) effect.Effect {
	a.expireEarlyFrames(now)
	early := a.earlyFrames
	a.earlyFrames = nil
	var e effect.Effect
	for _, f := range early {
		e.Add(a.Receive(now, f.from, f.frame))
	}
	return e
}
