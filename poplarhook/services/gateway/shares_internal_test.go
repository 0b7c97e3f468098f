package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/deployment"
)

func TestSharesFollowTheNumberOfHosts(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{}
	g.deployment.Store(&deployment.Deployment{Bounds: deployment.Bounds{ProbesPerSecond: 60}})
	c.Assert(g.connectionSharers(), qt.Equals, minConnectionSharers, qt.Commentf("before the others are known"))
	g.hosts.Store(105)
	g.listed.Store(285)
	c.Assert(g.connectionSharers(), qt.Equals, 105)
	all := g.lookRate() * 105 / 285
	c.Assert(all > 0 && all <= 60, qt.IsTrue, qt.Commentf("%.1f health checks of an endpoint in a second", all))
}
