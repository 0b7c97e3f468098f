package gateway

import (
	"net/http"
	"slices"

	"poplarhook.example/poplarhook/models/belief"
)

// DumpPath is where the state of the process is told on request, statePath where poplarctl asks for it.
const (
	DumpPath  = "/v1/dump"
	statePath = "/debug/state"
)

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
	g.answerJSON(w, g.Dump())
}
