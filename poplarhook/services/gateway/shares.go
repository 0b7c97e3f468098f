package gateway

import (
	"slices"

	"poplarhook.example/lib/host"
)

const (
	// minConnectionSharers is how many hosts are taken to share the connections that an endpoint accepts before the
	// others are known.
	minConnectionSharers = 16
	// retryShareUsed and retrySlackUsed keep repeats under the deployment's bound where hosts count differently.
	retryShareUsed = 0.7
	retrySlackUsed = 0.7
	// probesUsed is the part of the allowed health checks that hosts use together.
	probesUsed = 0.7
)

// coldSharers returns how many hosts share the rate of a cold endpoint and whether this one is among them.
//
// Each of them may send one request at once, which the slack covers; together
// they send at the declared rate.
func (g *Gateway) coldSharers(endpoint host.Host) (int, bool) {
	sharers := g.region.Load().Best(endpoint.ID, int(max(g.deployment.Load().Bounds.ColdSlack, 1)))
	return len(sharers), slices.Contains(sharers, g.deployment.Load().HostID)
}

// connectionSharers returns how many hosts share the connections that an endpoint accepts.
func (g *Gateway) connectionSharers() int {
	return int(max(g.hosts.Load(), minConnectionSharers))
}

// lookRate returns this host's part of the health checks that all endpoints together may get in a second.
func (g *Gateway) lookRate() float64 {
	hosts := max(g.hosts.Load(), 1)
	endpoints := g.listed.Load()
	return probesUsed * g.deployment.Load().Bounds.ProbesPerSecond * float64(max(endpoints, 1)) / float64(hosts)
}
