package warmer

import "time"

// State returns the state of the endpoint for dumps, one of the State constants.
func (w *Warmer) State(now time.Time) string {
	switch {
	case w.zoneOut || !w.listed:
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

// Reason returns why the endpoint is in its state for dumps, one of the Reason constants.
func (w *Warmer) Reason(now time.Time, slots int) string {
	switch {
	case w.zoneOut:
		return ReasonZoneOut
	case !w.listed:
		return ReasonNotListed
	case w.listedLeaving:
		return ReasonListedLeaving
	case w.leaving:
		return ReasonReportsLeaving
	case now.Before(w.failedUntil):
		return ReasonFailures
	case !w.warm && w.answersSinceCold > 0:
		return ReasonAwaitingAnswers
	case !w.warm:
		return w.coldReason
	case w.limit < slots+1:
		return ReasonRamping
	default:
		return ReasonWarm
	}
}

// makeCold makes the endpoint cold until it has completed enough answers again. It discards the answers that were
// counted before and the last load report, and lowers the limit to that of a cold endpoint.
func (w *Warmer) makeCold(now time.Time, reason string) {
	w.known = true
	w.warm = false
	w.coldReason = reason
	w.madeColdAt = now
	w.answersSinceCold = 0
	w.lastReported = reportedNothing
	w.limit = coldLimit
	w.rampProgress = 0
}

// updateWarm makes the endpoint warm once it has completed the required number of answers, which depends on whether a
// load report says that it is warm. An endpoint whose last load report says that it is cold stays cold.
func (w *Warmer) updateWarm() {
	needed := w.requiredAnswers
	switch w.lastReported {
	case reportedCold:
		return
	case reportedNothing:
		needed = w.unreportedAnswers
	}
	if !w.warm && w.answersSinceCold >= needed {
		w.warm = true
	}
}

// raiseLimit counts answers of the warm endpoint. It raises the limit by one each time the count reaches the limit
// times rampAnswers, up to slotLimit, and then starts the count again.
func (w *Warmer) raiseLimit(answers int) {
	w.rampProgress += answers
	for w.limit < w.slotLimit && w.rampProgress >= w.limit*w.rampAnswers {
		w.rampProgress -= w.limit * w.rampAnswers
		w.limit++
	}
	if w.limit >= w.slotLimit {
		w.rampProgress = 0
	}
}

func (w *Warmer) isLeaving() bool {
	return w.leaving || w.listedLeaving
}

// updateLeaving processes the part of a load report that says whether the endpoint is leaving. The endpoint counts as
// leaving until a report denies it at least leavingTimeout after the last report of leaving; then it becomes cold.
func (w *Warmer) updateLeaving(now time.Time, leaving bool) {
	if leaving {
		w.leaving = true
		w.lastLeavingAt = now
		return
	}
	if w.leaving && now.Sub(w.lastLeavingAt) >= w.leavingTimeout {
		w.leaving = false
		w.makeCold(now, ReasonDidNotLeave)
	}
}
