package selector

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
)

// candidate is an endpoint that may get the request, with an estimate of how long its answer takes.
type candidate struct {
	group    group.Group
	host     host.Host
	cold     bool
	estimate time.Duration
	report   report.Report
	probedAt time.Time
	// inFlightBefore is how many requests of this host were in flight at the endpoint when the probe was sent.
	inFlightBefore int
	// unanswered is true if the endpoint has not answered its probe in time, so that its load is not known.
	unanswered bool
}

// hasFreeSlot reports whether the endpoint is expected to process the request at once.
//
// An endpoint that does not report its load counts as free if this host had no
// request in flight there and it answered its probe.
func (c candidate) hasFreeSlot() bool {
	if !c.report.HasLoad {
		return c.inFlightBefore == 0 && !c.unanswered
	}
	return c.report.InFlight < max(c.report.Slots, 1) && c.report.Waiting == 0
}

// slowFactor returns the service time at the endpoint relative to the usual one, 1 if it is not reported.
func (c candidate) slowFactor() float64 {
	if !c.report.HasLoad || c.report.SlowFactor <= 0 {
		return 1
	}
	return c.report.SlowFactor
}

// unloadedSlowFactor is the slow factor from which an endpoint counts as slow.
const unloadedSlowFactor = 1.5

// isUnloaded reports whether the endpoint is at its usual speed and stays below the load at which it slows down.
func (c candidate) isUnloaded() bool {
	return !c.report.HasLoad || (c.slowFactor() < unloadedSlowFactor && estimator.IsBelowHighLoad(c.report.InFlight+c.report.Waiting, c.report.Slots))
}

// isFull reports whether at least as many requests wait at the endpoint as it has slots.
func (c candidate) isFull() bool {
	return c.report.HasLoad && c.report.Waiting >= max(c.report.Slots, 1)
}
