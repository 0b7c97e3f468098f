package gateway

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
)

// setRestored keeps, for the given time, what this host knew before the store was restored from an older copy:
// availability zones that are out of service, and that endpoints are leaving. Operators and endpoints write them again.
func (g *Gateway) setRestored(left time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wasRestored = true
	g.keepUntil = g.clock().Add(left)
	g.keptZones = slices.Clone(g.zonesOut)
	time.AfterFunc(left, g.endRestored)
}

// endRestored puts what the restored store states into effect.
func (g *Gateway) endRestored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock().Before(g.keepUntil) {
		return
	}
	g.keptZones = nil
	g.usable = g.gracePeriod.Apply(g.clock(), g.usable, g.endpoints.Items)
	g.applyConfiguration()
	g.applyEndpoints()
}

// zonesOutNow returns the availability zones that are out of service, with those that are kept. The caller holds the
// lock.
func (g *Gateway) zonesOutNow() []string {
	zones := slices.Concat(g.zonesOut, g.keptZones)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// keepLeaving returns the listed endpoints with those as leaving that this host knew as leaving before the store was
// restored, while that is kept. A restarted endpoint is not leaving. The caller holds the lock.
func (g *Gateway) keepLeaving(listed map[string]host.Host) map[string]host.Host {
	if !g.clock().Before(g.keepUntil) {
		return listed
	}
	kept := maps.Clone(listed)
	for id, h := range listed {
		if before, known := g.usable[id]; known && before.IsLeaving() && before.Incarnation == h.Incarnation {
			kept[id] = h.WithState(host.StateLeaving)
		}
	}
	return kept
}

// isRewritten reports whether the configuration has other content than the one in force, whose version it has: the store
// was restored, lost that version and assigned it again. The caller holds the lock.
func (g *Gateway) isRewritten(s snapshot.Snapshot) bool {
	if !g.wasRestored {
		return false
	}
	// The encodings are compared, since a snapshot from another host may differ in nil and empty slices.
	before, errBefore := json.Marshal(g.configuration)
	after, errAfter := json.Marshal(s)
	return errBefore == nil && errAfter == nil && !bytes.Equal(before, after)
}
