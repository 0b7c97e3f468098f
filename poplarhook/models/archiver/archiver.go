package archiver

import (
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/snapshot"
)

// maxEntries is the number of configurations that are kept. At 14,000 changes a day they span a few minutes; a
// configuration of some thousands of services takes about a megabyte.
const maxEntries = 8

// entry is a configuration and the time at which this host applied it.
type entry struct {
	snapshot snapshot.Snapshot
	at       time.Time
}

// Archiver keeps the newest configurations. It is safe for concurrent use.
type Archiver struct {
	mu      sync.Mutex
	entries []entry
}

// New returns an Archiver without configurations.
func New() *Archiver {
	return &Archiver{}
}

// Add stores a configuration that was applied at the given time and drops the oldest one over the limit.
func (a *Archiver) Add(now time.Time, s snapshot.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, entry{snapshot: s, at: now})
	if len(a.entries) > maxEntries {
		a.entries = slices.Delete(a.entries, 0, len(a.entries)-maxEntries)
	}
}

// Get returns the configuration with the given revision and whether it is still kept.
func (a *Archiver) Get(revision int64) (snapshot.Snapshot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.entries {
		if e.snapshot.Revision == revision {
			return e.snapshot, true
		}
	}
	return snapshot.Snapshot{}, false
}

// Changes returns the kept configurations, newest first, with the times at which this host applied them.
func (a *Archiver) Changes() []index.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := make([]index.Change, 0, len(a.entries))
	for _, e := range slices.Backward(a.entries) {
		changes = append(changes, index.Change{Revision: e.snapshot.Revision, ChangeID: e.snapshot.ChangeID, At: e.at})
	}
	return changes
}
