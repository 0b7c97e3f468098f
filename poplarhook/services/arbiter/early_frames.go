package arbiter

import (
	"slices"
	"time"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
)

const (
	// earlyFor is how long a frame for the owner is kept at a host that does not own the group yet.
	earlyFor = time.Second
	// maxEarly bounds the frames that are kept.
	maxEarly = 512
)

// earlyFrame is a frame for the owner that came before this host knew that it owns the group.
type earlyFrame struct {
	from  string
	frame *wire.Frame
	at    time.Time
}

// keepEarly keeps what a borrower tells this host as the owner; its first holding starts anew.
//
// When too much comes, all is dropped, as a release that is missing would leave its credit lent.
func (a *Arbiter) keepEarly(now time.Time, from string, frame *wire.Frame) {
	if frame.GetHolding().GetFirst() {
		a.dropEarly(from)
	}
	if len(a.early) >= maxEarly {
		a.early = nil
	}
	a.early = append(a.early, earlyFrame{from: from, frame: frame, at: now})
}

// dropEarly forgets what a peer told as a borrower, since both sides count anew.
func (a *Arbiter) dropEarly(peer string) {
	a.early = slices.DeleteFunc(a.early, func(f earlyFrame) bool { return f.from == peer })
}

// forgetEarly drops what is too old, and with it all that its borrower told.
func (a *Arbiter) forgetEarly(now time.Time) {
	for len(a.early) > 0 && now.Sub(a.early[0].at) > earlyFor {
		a.dropEarly(a.early[0].from)
	}
}

// receiveEarly takes in, as the owner, what came early.
func (a *Arbiter) receiveEarly(now time.Time) effect.Effect {
	a.forgetEarly(now)
	early := a.early
	a.early = nil
	var e effect.Effect
	for _, f := range early {
		e.Add(a.Receive(now, f.from, f.frame))
	}
	return e
}
