package selector

import (
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/viewstatus"
)

// Dump returns the known state of each of the endpoints, in the given order.
func (s *Selector) Dump(endpoints []host.Host) []viewstatus.Endpoint {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]viewstatus.Endpoint, 0, len(endpoints))
	for _, h := range endpoints {
		e := s.stateOf(&h)
		all = append(all, viewstatus.Endpoint{
			ID:               h.ID,
			Incarnation:      h.Incarnation,
			Service:          h.Service,
			Region:           h.Region,
			AvailabilityZone: h.AvailabilityZone,
			Address:          h.Address,
			State:            h.State,
			InFlight:         e.inFlight,
			Running:          e.lastReport.InFlight,
			Waiting:          e.lastReport.Waiting,
			SlowFactor:       e.lastReport.SlowFactor,
			ReportedAt:       e.lastReportAt,
			ColdUntil:        e.coldUntil,
			FailureRate:      s.reputation.FailureRate(now, h.ID),
			Replaced:         e.replaced,
			Leaving:          s.excluder.IsLeaving(h.ID, h.Incarnation),
			QuietUntil:       s.excluder.QuietUntil(h.ID, h.Incarnation),
		})
	}
	return all
}
