package graceperiod

import (
	"maps"
	"time"

	"poplarhook.example/lib/host"
)

// Tracker decides which endpoints stay in use although their entries have expired. It is not safe for concurrent use.
//
// Endpoints cannot renew their entries while the store is unavailable. Their
// entries may therefore be missing when the store returns, until the endpoints
// have written them again.
type Tracker struct {
	// graceUntil is the end of the grace period after the store's last return.
	graceUntil time.Time
	kept       map[string]host.Host
}

// New returns a Tracker without a grace period, which keeps no expired entries.
func New() *Tracker {
	return &Tracker{kept: make(map[string]host.Host)}
}

// graceTolerance is how far the ends of the same grace period may lie apart in two messages, because of network delay
// and processing time.
const graceTolerance = 500 * time.Millisecond

// Extend sets the end of the grace period to until if that is a new grace period, and reports whether it is.
func (t *Tracker) Extend(until time.Time) bool {
	if until.Sub(t.graceUntil) < graceTolerance {
		return false
	}
	t.graceUntil = until
	return true
}

// Apply returns the endpoints to use, given those used before and those listed now.
//
// There is no grace period for an endpoint that was leaving, nor for one whose
// address a listed endpoint has taken over.
func (t *Tracker) Apply(now time.Time, before, listed map[string]host.Host) map[string]host.Host {
	if !now.Before(t.graceUntil) {
		clear(t.kept)
		return listed
	}
	for id, h := range before {
		if _, still := listed[id]; !still && !h.IsLeaving() {
			t.kept[id] = h
		}
	}
	for id := range listed {
		delete(t.kept, id)
	}
	if len(t.kept) == 0 {
		return listed
	}
	return t.mergeKept(listed)
}

// mergeKept returns the listed endpoints and those kept endpoints whose addresses no listed endpoint has.
func (t *Tracker) mergeKept(listed map[string]host.Host) map[string]host.Host {
	taken := make(map[string]bool, len(listed))
	for _, h := range listed {
		taken[h.Address] = true
	}
	used := maps.Clone(listed)
	for id, h := range t.kept {
		if !taken[h.Address] {
			used[id] = h
		}
	}
	return used
}
