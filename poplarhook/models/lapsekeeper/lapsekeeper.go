package lapsekeeper

import (
	"maps"
	"time"

	"poplarhook.example/lib/host"
)

// Keeper decides which endpoints stay in use though their entries are gone; it is not safe for concurrent use.
//
// Endpoints cannot renew their entries while the store is away, so their
// entries may be gone when it returns, for as long as they need to come back.
type Keeper struct {
	// until is when the grace after the store's last return ends.
	until time.Time
	kept  map[string]host.Host
}

// New returns a Keeper that keeps nothing until there is a grace.
func New() *Keeper {
	return &Keeper{kept: make(map[string]host.Host)}
}

// sameGrace is how far two tellings of the same grace may lie apart, by the way of the message and the work of hosts.
const sameGrace = 500 * time.Millisecond

// Extend gives lapsed entries until the given time to come back, and reports whether that is another grace than before.
func (k *Keeper) Extend(until time.Time) bool {
	if until.Sub(k.until) < sameGrace {
		return false
	}
	k.until = until
	return true
}

// Use returns the endpoints to use, given those that were listed before and those that are listed now.
//
// One that was leaving is gone without grace. One whose address another one has
// taken is gone too.
func (k *Keeper) Use(now time.Time, before, listed map[string]host.Host) map[string]host.Host {
	if !now.Before(k.until) {
		clear(k.kept)
		return listed
	}
	for id, h := range before {
		if _, still := listed[id]; !still && !h.IsLeaving() {
			k.kept[id] = h
		}
	}
	for id := range listed {
		delete(k.kept, id)
	}
	if len(k.kept) == 0 {
		return listed
	}
	return k.with(listed)
}

// with returns the listed endpoints and those kept whose addresses are still theirs.
func (k *Keeper) with(listed map[string]host.Host) map[string]host.Host {
	taken := make(map[string]bool, len(listed))
	for _, h := range listed {
		taken[h.Address] = true
	}
	used := maps.Clone(listed)
	for id, h := range k.kept {
		if !taken[h.Address] {
			used[id] = h
		}
	}
	return used
}
