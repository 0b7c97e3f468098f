package selector

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/report"
)

// endpointState is the state of one endpoint as this host knows it.
type endpointState struct {
	incarnation string
	// weight ranks the endpoint among those of its group for this host; it is the same for all incarnations of the
	// endpoint.
	weight   uint64
	inFlight int
	// lastReport is the newest report with the endpoint's load, received at lastReportAt.
	lastReport   report.Report
	lastReportAt time.Time
	// inFlightAtReport is how many requests of this host were in flight when lastReport was received.
	inFlightAtReport int
	// coldUntil is when the endpoint stops being cold, by the latest statement of the platform or the endpoint.
	coldUntil time.Time
	// avoidUntil is the time until which the endpoint is used only if no other endpoint may get the request.
	avoidUntil time.Time
	// replaced is true after another endpoint has answered at the address.
	replaced bool
}

// stateOf returns the state of the endpoint, an empty one for a new incarnation. The caller holds the lock.
func (s *Selector) stateOf(h *host.Host) *endpointState {
	e := s.states[h.ID]
	if e == nil || e.incarnation != h.Incarnation {
		e = &endpointState{incarnation: h.Incarnation, weight: ranker.Weight(s.self, h.ID)}
		s.states[h.ID] = e
	}
	if h.ColdUntil.After(e.coldUntil) {
		e.coldUntil = h.ColdUntil
	}
	return e
}

// record stores what a report of the endpoint says about coldness and load.
func (e *endpointState) record(now time.Time, r report.Report) {
	if r.ColdFor > 0 {
		e.coldUntil = now.Add(r.ColdFor)
	}
	if !r.HasLoad {
		return
	}
	e.lastReport = r
	e.lastReportAt = now
	e.inFlightAtReport = e.inFlight
}

func (e *endpointState) isCold(now time.Time) bool {
	return now.Before(e.coldUntil)
}
