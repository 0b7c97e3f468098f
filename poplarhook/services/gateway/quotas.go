package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/deployment"
	"poplarhook.example/poplarhook/models/granter"
	"poplarhook.example/poplarhook/services/quotakeeper"
)

// newQuotas returns the Keeper of the quotas of workspaces. It is idle until a configuration has a quota.
func (g *Gateway) newQuotas(d deployment.Deployment) *quotakeeper.Keeper {
	return quotakeeper.New(ownHost(d), quotaLimits(d.Bounds),
		quotakeeper.WithLogger(g.logger),
		quotakeeper.WithCounter(g.meter.Count))
}

func quotaLimits(b deployment.Bounds) granter.Limits {
	overage, slack := b.QuotaExcess()
	return granter.Limits{Window: b.QuotaWindow(), Overage: overage, Slack: slack}
}

// handleQuotas adds the streams of other hosts to the pool host.
func (g *Gateway) handleQuotas(router *mux.Router) {
	router.Handle(quotakeeper.Path, g.quotas).Methods(http.MethodPost)
}
