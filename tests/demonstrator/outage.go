package demonstrator

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/execution"
)

// outageGrace is how long after acceptance a zone may still receive new work.
const outageGrace = 2 * time.Second

// outage is the time during which a zone was out.
type outage struct {
	zone     string
	accepted time.Time
	ended    time.Time
}

// executions counts the work that began in the zone after the grace and before the end.
func (o outage) executions(endpoints []host.Host, all []execution.Execution) int64 {
	inZone := make(map[string]bool)
	for _, endpoint := range endpoints {
		inZone[endpoint.ID] = endpoint.AvailabilityZone == o.zone
	}
	first, last := o.accepted.Add(outageGrace).UnixMicro(), o.ended.UnixMicro()
	var count int64
	for _, e := range all {
		if inZone[e.EndpointID] && e.StartedUnixUS >= first && e.StartedUnixUS < last {
			count++
		}
	}
	return count
}
