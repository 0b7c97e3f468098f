package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/deployment"
)

func TestSharesDependOnTheNumberOfHosts(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{}
	g.deployment.Store(&deployment.Deployment{Bounds: deployment.Bounds{ProbesPerSecond: 60}})
	c.Assert(g.connectionSharers(), qt.Equals, minConnectionSharers, qt.Commentf("before the other hosts are known"))
	g.hostCount.Store(105)
	g.endpointCount.Store(285)
	c.Assert(g.connectionSharers(), qt.Equals, 105)
	perEndpoint := g.probeRate() * 105 / 285
	c.Assert(perEndpoint > 0 && perEndpoint <= 60, qt.IsTrue, qt.Commentf("%.1f health checks of an endpoint per second", perEndpoint))
}
