package warmer

import "time"

// State returns one of the states, for dumps.
func (w *Warmer) State(now time.Time) string {
	switch {
	case w.out || !w.listed:
		return StateOut
	case w.isLeaving():
		return StateLeaving
	case now.Before(w.failedUntil):
		return StateFailed
	case w.warm:
		return StateWarm
	case w.coldReason == ReasonNeverSeen:
		return StateNew
	default:
		return StateCold
	}
}

// Reason returns why the endpoint is in its state, for dumps.
func (w *Warmer) Reason(now time.Time, slots int) string {
	switch {
	case w.out:
		return ReasonZoneOut
	case !w.listed:
		return ReasonNotListed
	case w.listedLeaving:
		return ReasonListedLeaving
	case w.leaving:
		return ReasonSaysLeaving
	case now.Before(w.failedUntil):
		return ReasonFailures
	case !w.warm && w.proved > 0:
		return ReasonProving
	case !w.warm:
		return w.coldReason
	case w.limit < slots+1:
		return ReasonRamping
	default:
		return ReasonWarm
	}
}

// doubt makes the endpoint cold until it has proved itself anew.
func (w *Warmer) doubt(now time.Time, reason string) {
	w.seen = true
	w.warm = false
	w.coldReason = reason
	w.doubtedAt = now
	w.proved = 0
	w.says = saysNothing
	w.limit = coldLimit
	w.climbed = 0
}

// believe makes the endpoint warm once enough answers bear out its report.
func (w *Warmer) believe() {
	needed := w.proof
	switch w.says {
	case saysCold:
		return
	case saysNothing:
		needed = w.unreportedProof
	}
	if !w.warm && w.proved >= needed {
		w.warm = true
	}
}

// climb raises the limit by one for each round of answers at the present limit.
func (w *Warmer) climb(answers int) {
	w.climbed += answers
	for w.limit < w.ceiling && w.climbed >= w.limit*w.rampStep {
		w.climbed -= w.limit * w.rampStep
		w.limit++
	}
	if w.limit >= w.ceiling {
		w.climbed = 0
	}
}

func (w *Warmer) isLeaving() bool {
	return w.leaving || w.listedLeaving
}

// observeLeaving holds on to a sign of leaving; an endpoint that stays nevertheless comes back cold.
func (w *Warmer) observeLeaving(now time.Time, leaving bool) {
	if leaving {
		w.leaving = true
		w.leavingAt = now
		return
	}
	if w.leaving && now.Sub(w.leavingAt) >= w.leavingDoubt {
		w.leaving = false
		w.doubt(now, ReasonStayed)
	}
}
