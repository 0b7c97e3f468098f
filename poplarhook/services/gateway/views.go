package gateway

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/defect"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/view"
)

// setMembers updates the list of entry hosts and the limits that depend on their number.
func (g *Gateway) setMembers(v view.View[host.Host]) {
	ids := []string{g.deployment.Load().HostID}
	hostCount := len(v.Items)
	if _, listed := v.Items[g.deployment.Load().HostID]; !listed {
		hostCount++
	}
	for id, m := range v.Items {
		if m.Region == g.deployment.Load().Region {
			ids = append(ids, id)
		}
	}
	regionHosts := ranker.New(ids...)
	g.regionHosts.Store(&regionHosts)
	g.mu.Lock()
	g.members = slices.Collect(maps.Values(v.Items))
	g.quotas.SetMembers(g.members)
	g.mu.Unlock()
	g.hostCount.Store(int64(hostCount))
	g.retryBudget.SetMinimum(int(g.deployment.Load().Bounds.RetrySlack * retrySlackFraction / float64(hostCount)))
	g.logger.Info("entry hosts known", zap.Int("hosts", hostCount), zap.Int("in_region", len(ids)), zap.Int64("store_revision", v.Revision))
}

// setConfiguration applies a configuration that is newer than the current one, and ignores any other. One that cannot be
// read at all leaves the current one in force. After the store was restored from an older copy, a version that is lost may
// be written again with other content: then it replaces the current one of the same version.
func (g *Gateway) setConfiguration(v view.View[snapshot.Snapshot]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range v.Items {
		if s.IsUnreadable() {
			g.setUnreadable(s.Defects, v.Revision)
			continue
		}
		g.unreadable = nil
		if s.Revision < g.configuration.Revision || s.Revision == g.configuration.Revision && !g.isRewritten(s) {
			continue
		}
		before := g.configuration
		g.configuration = s
		if !reflect.DeepEqual(before.Workspaces, s.Workspaces) {
			g.quotas.SetWorkspaces(s.Workspaces)
		}
		g.logDefects(s.Defects, v.Revision)
		g.archive.Add(g.clock(), s.WithoutKeys())
		g.applyConfiguration()
		if reflect.DeepEqual(before.Services, s.Services) {
			g.checkConfigured()
		} else {
			g.applyEndpoints()
		}
		g.logger.Info("configuration in force", zap.Int64("version", s.Revision), zap.Int64("store_revision", v.Revision),
			zap.Int("classes", len(s.Documents[0].Classes)))
	}
}

// setUnreadable keeps why the newest configuration cannot be read. The caller holds the lock.
func (g *Gateway) setUnreadable(defects []defect.Defect, storeRevision int64) {
	if !slices.Equal(g.unreadable, defects) {
		g.unreadable = defects
		g.logDefects(defects, storeRevision)
	}
}

// logDefects logs and counts the entries of a configuration that cannot be read.
func (g *Gateway) logDefects(defects []defect.Defect, storeRevision int64) {
	for _, d := range defects {
		g.meter.Count("configuration_defect")
		g.logger.Error("entry of the configuration cannot be read", zap.String("kind", d.Kind), zap.String("entry", d.Entry),
			zap.String("field", d.Field), zap.String("value", d.Value), zap.String("allowed", d.Allowed), zap.Int64("store_revision", storeRevision))
	}
}

// currentDefects returns the entries that cannot be read, of the configuration in force and of a newer one that cannot
// be read at all. The caller holds the lock.
func (g *Gateway) currentDefects() []defect.Defect {
	return slices.Concat(g.unreadable, g.configuration.Defects)
}

// setEndpoints replaces the list of endpoints.
func (g *Gateway) setEndpoints(v view.View[host.Host]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usable = g.gracePeriod.Apply(g.clock(), g.usable, g.keepLeaving(v.Items))
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

// setZonesOut replaces the list of availability zones that operators have taken out of service.
func (g *Gateway) setZonesOut(v view.View[json.RawMessage]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zonesOut = g.zonesOut[:0]
	for zone := range v.Items {
		g.zonesOut = append(g.zonesOut, zone)
	}
	g.applyConfiguration()
	g.logger.Info("availability zones out of service", zap.Strings("zones", g.zonesOut), zap.Int64("store_revision", v.Revision))
}

// setGracePeriod keeps endpoints in use whose entries expired while the store was unavailable, for the given time, in
// which they may renew them.
func (g *Gateway) setGracePeriod(left time.Duration) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.gracePeriod.Extend(now.Add(left)) {
		return
	}
	time.AfterFunc(left, g.endGracePeriod)
	g.logger.Info("expired endpoints stay in use for a grace period", zap.Duration("grace", left))
}

// endGracePeriod stops the use of endpoints whose entries expired and were not renewed.
func (g *Gateway) endGracePeriod() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usable = g.gracePeriod.Apply(g.clock(), g.usable, g.keepLeaving(g.endpoints.Items))
	g.applyEndpoints()
}

// applyConfiguration applies the newest configuration, with the availability zones that are out of service. The
// caller holds the lock.
func (g *Gateway) applyConfiguration() {
	if g.configuration.Revision > 0 {
		g.locator.SetSnapshot(g.configuration.WithZonesOut(g.zonesOutNow()...))
	}
}

// applyEndpoints applies the list of usable endpoints, with the settings that the configuration declares for their
// services. The caller holds the lock.
func (g *Gateway) applyEndpoints() {
	d := directoryOf(g.endpoints.Revision, g.usable, g.configuration)
	g.rollouts.setEndpoints(d.Endpoints())
	g.locator.SetDirectory(d)
	g.endpointCount.Store(int64(len(g.usable)))
	g.sender.Retain(d.Endpoints())
	g.selector.Retain(d.Endpoints())
	g.checkConfigured()
}

// checkConfigured lets requests that wait for the first configuration go on once there is one with endpoints.
func (g *Gateway) checkConfigured() {
	if g.isConfigured() {
		g.setConfigured()
	}
}
