package demonstrator

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/execution"
)

// outageGracePeriod is how long an availability zone may still receive new requests after the change that takes it out
// of service was accepted.
const outageGracePeriod = 2 * time.Second

// outage is the time during which an availability zone was out of service.
type outage struct {
	zone       string
	acceptedAt time.Time
	endedAt    time.Time
}

// countExecutions counts the requests that endpoints of the zone started to process after the grace period and before
// the end of the outage.
func (o outage) countExecutions(endpoints []host.Host, all []execution.Execution) int64 {
	inZone := make(map[string]bool)
	for _, endpoint := range endpoints {
		inZone[endpoint.ID] = endpoint.AvailabilityZone == o.zone
	}
	first, last := o.acceptedAt.Add(outageGracePeriod).UnixMicro(), o.endedAt.UnixMicro()
	var count int64
	for _, e := range all {
		if inZone[e.EndpointID] && e.StartedUnixUS >= first && e.StartedUnixUS < last {
			count++
		}
	}
	return count
}
