package gateway

import (
	"encoding/json"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/belief"
)

// DumpPath is where the state of the process is told on request.
const DumpPath = "/v1/dump"

// Dump returns what this host knows now.
func (g *Gateway) Dump() belief.Belief {
	d := g.deployment.Load()
	endpoints := g.surveyor.Dump(g.places.Directory().Endpoints())
	g.mu.Lock()
	defer g.mu.Unlock()
	return belief.Belief{
		HostID:           d.HostID,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		Heard:            g.heard.Load(),
		Ready:            g.isReady(),
		Stopping:         g.draining.Load(),
		Version:          g.configuration.Revision,
		ChangeID:         g.configuration.ChangeID,
		StoreRevision:    g.endpoints.Revision,
		ZonesOut:         slices.Clone(g.zonesOut),
		Followers:        g.supplier.Broadcaster().Readers(),
		Endpoints:        endpoints,
	}
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.Dump()); err != nil {
		g.logger.Warn("dump broke off", zap.String("error", err.Error()))
	}
}
