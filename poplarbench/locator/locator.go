package locator

import "poplarhook.example/lib/host"

// Locator looks up the region of an endpoint.
type Locator struct {
	regions map[string]string
}

// New returns a locator for the hosts.
func New(hosts []host.Host) Locator {
	regions := make(map[string]string, len(hosts))
	for _, h := range hosts {
		regions[h.ID] = h.Region
	}
	return Locator{regions: regions}
}

// RegionOf returns the region of an endpoint and whether the endpoint is in the host list.
func (l Locator) RegionOf(endpointID string) (string, bool) {
	region, known := l.regions[endpointID]
	return region, known
}
