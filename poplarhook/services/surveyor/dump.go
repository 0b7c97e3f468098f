package surveyor

import (
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/belief"
)

// Dump returns what is known of the endpoints, in their order.
func (s *Surveyor) Dump(endpoints []host.Host) []belief.Endpoint {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]belief.Endpoint, 0, len(endpoints))
	for _, h := range endpoints {
		k := s.knowledgeOf(&h)
		all = append(all, belief.Endpoint{
			ID:               h.ID,
			Incarnation:      h.Incarnation,
			Service:          h.Service,
			Region:           h.Region,
			AvailabilityZone: h.AvailabilityZone,
			Address:          h.Address,
			State:            h.State,
			InFlight:         k.inFlight,
			Running:          k.last.InFlight,
			Waiting:          k.last.Waiting,
			Slowness:         k.last.Slowness,
			ReportedAt:       k.lastAt,
			ColdUntil:        k.coldUntil,
			Failing:          s.reputation.Failing(now, h.ID),
			Replaced:         k.replaced,
		})
	}
	return all
}
