package gateway

import (
	"slices"

	"poplarhook.example/lib/host"
)

const (
	// minConnectionSharers is the minimum number of hosts assumed to share the connections that an endpoint accepts. It
	// applies while the other hosts are not known.
	minConnectionSharers = 16
	// retryShareFraction and retrySlackFraction are the fractions of the deployment's bounds on repeated requests that
	// are used, so that the bounds also hold where hosts count differently.
	retryShareFraction = 0.7
	retrySlackFraction = 0.7
	// probeFraction is the fraction of the allowed health checks that all hosts together use.
	probeFraction = 0.7
)

// coldSharers returns how many hosts share the rate of a cold endpoint and whether this host is one of them.
//
// Each of them may send one request immediately, which the slack allows;
// together they send at the rate that the endpoint declares.
func (g *Gateway) coldSharers(endpoint host.Host) (int, bool) {
	sharers := g.regionHosts.Load().Best(endpoint.ID, int(max(g.deployment.Load().Bounds.ColdSlack, 1)))
	return len(sharers), slices.Contains(sharers, g.deployment.Load().HostID)
}

// connectionSharers returns how many hosts share the connections that an endpoint accepts.
func (g *Gateway) connectionSharers() int {
	return int(max(g.hostCount.Load(), minConnectionSharers))
}

// probeRate returns how many probes per second this host may send: its part of the health checks that all endpoints may
// get.
func (g *Gateway) probeRate() float64 {
	hosts := max(g.hostCount.Load(), 1)
	endpoints := g.endpointCount.Load()
	return probeFraction * g.deployment.Load().Bounds.ProbesPerSecond * float64(max(endpoints, 1)) / float64(hosts)
}
