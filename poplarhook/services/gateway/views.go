package gateway

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/view"
)

// setMembers takes in which entry hosts there are.
func (g *Gateway) setMembers(v view.View[host.Host]) {
	ids := []string{g.deployment.Load().HostID}
	hosts := len(v.Items)
	if _, listed := v.Items[g.deployment.Load().HostID]; !listed {
		hosts++
	}
	for id, m := range v.Items {
		if m.Region == g.deployment.Load().Region {
			ids = append(ids, id)
		}
	}
	region := ranker.New(ids...)
	g.region.Store(&region)
	g.mu.Lock()
	g.members = slices.Collect(maps.Values(v.Items))
	g.mu.Unlock()
	g.hosts.Store(int64(hosts))
	g.repeats.SetMinimum(int(g.deployment.Load().Bounds.RetrySlack * retrySlackUsed / float64(hosts)))
	g.logger.Info("entry hosts known", zap.Int("hosts", hosts), zap.Int("in_region", len(ids)), zap.Int64("store_revision", v.Revision))
}

// setConfiguration puts the newest configuration in force; one that is older than that in force is not believed.
func (g *Gateway) setConfiguration(v view.View[snapshot.Snapshot]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range v.Items {
		if one.Revision <= g.configuration.Revision {
			continue
		}
		g.configuration = one
		g.archive.Add(g.clock(), one)
		g.applyConfiguration()
		g.applyEndpoints()
		g.logger.Info("configuration in force", zap.Int64("version", one.Revision), zap.Int64("store_revision", v.Revision),
			zap.Int("classes", len(one.Documents[0].Classes)))
	}
}

// setEndpoints takes in the list of endpoints.
func (g *Gateway) setEndpoints(v view.View[host.Host]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = g.lapses.Use(g.clock(), g.used, v.Items)
	g.endpoints = v
	g.applyEndpoints()
	for _, c := range v.Changed {
		g.logger.Info("endpoint changed", zap.String("endpoint", c.Name), zap.Bool("removed", c.Removed),
			zap.String("state", c.Value.State), zap.String("incarnation", c.Value.Incarnation), zap.Int64("store_revision", v.Revision))
	}
	if v.Changed == nil {
		g.logger.Info("endpoints listed", zap.Int("endpoints", len(v.Items)), zap.Int64("store_revision", v.Revision))
	}
}

// setZonesOut takes in which availability zones operators have taken out.
func (g *Gateway) setZonesOut(v view.View[json.RawMessage]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zonesOut = g.zonesOut[:0]
	for zone := range v.Items {
		g.zonesOut = append(g.zonesOut, zone)
	}
	g.applyConfiguration()
	g.logger.Info("zones out", zap.Strings("zones", g.zonesOut), zap.Int64("store_revision", v.Revision))
}

// setGrace keeps endpoints in use whose entries lapsed while the store was away, for as long as they may come back.
func (g *Gateway) setGrace(left time.Duration) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lapses.Extend(now.Add(left)) {
		return
	}
	time.AfterFunc(left, g.endLapses)
	g.logger.Info("lapsed endpoints may come back", zap.Duration("grace", left))
}

// endLapses takes endpoints out of use that have not come back.
func (g *Gateway) endLapses() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = g.lapses.Use(g.clock(), g.used, g.endpoints.Items)
	g.applyEndpoints()
}

// applyConfiguration puts the newest configuration and the zones that are out in force; the lock is held.
func (g *Gateway) applyConfiguration() {
	if g.configuration.Revision > 0 {
		g.places.SetSnapshot(g.configuration.WithZonesOut(g.zonesOut...))
	}
}

// applyEndpoints joins the endpoints with what is declared of their services; the lock is held.
func (g *Gateway) applyEndpoints() {
	d := directoryOf(g.endpoints.Revision, g.used, g.configuration)
	g.places.SetDirectory(d)
	g.listed.Store(int64(len(g.used)))
	g.sender.Retain(d.Endpoints())
	g.surveyor.Retain(d.Endpoints())
	if g.isConfigured() {
		g.setConfigured()
	}
}
