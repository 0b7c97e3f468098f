package gateway

import (
	"net/http"

	"poplarhook.example/poplarhook/models/viewstatus"
)

// DumpPath is the path that serves the state of the process. statePath serves the same state to poplarctl.
const (
	DumpPath  = "/v1/dump"
	statePath = "/debug/state"
)

// Dump returns the current state of this host as it knows it.
func (g *Gateway) Dump() viewstatus.Status {
	d := g.deployment.Load()
	endpoints := g.selector.Dump(g.locator.Directory().Endpoints())
	g.mu.Lock()
	defer g.mu.Unlock()
	return viewstatus.Status{
		HostID:           d.HostID,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		ReceivesUpdates:  g.viewsCurrent.Load(),
		Ready:            g.isReady(),
		Stopping:         g.draining.Load(),
		Quota:            g.quotas.Status(),
		Version:          g.configuration.Revision,
		ChangeID:         g.configuration.ChangeID,
		Defects:          g.currentDefects(),
		StoreRevision:    g.endpoints.Revision,
		ZonesOut:         g.zonesOutNow(),
		Followers:        g.supplier.Broadcaster().Readers(),
		Endpoints:        endpoints,

		ConfirmedMSAgo: g.confirmationAge(),
	}
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	g.answerJSON(w, g.Dump())
}
