package archiver

import (
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/snapshot"
)

// kept is how many configurations are kept: some minutes of changes where there are 14,000 a day, at about a megabyte
// each for some thousands of services.
const kept = 8

// entry is a configuration and when it was put in force.
type entry struct {
	snapshot snapshot.Snapshot
	at       time.Time
}

// Archiver keeps the newest configurations, safe for concurrent use.
type Archiver struct {
	mu      sync.Mutex
	entries []entry
}

// New returns an Archiver without configurations.
func New() *Archiver {
	return &Archiver{}
}

// Add keeps a configuration that was put in force at the given time.
func (a *Archiver) Add(now time.Time, s snapshot.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, entry{snapshot: s, at: now})
	if len(a.entries) > kept {
		a.entries = slices.Delete(a.entries, 0, len(a.entries)-kept)
	}
}

// Get returns the configuration at the revision and whether it is kept.
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

// Changes returns what is kept, the newest first, with the times at which this host put it in force.
func (a *Archiver) Changes() []index.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := make([]index.Change, 0, len(a.entries))
	for _, e := range slices.Backward(a.entries) {
		changes = append(changes, index.Change{Revision: e.snapshot.Revision, ChangeID: e.snapshot.ChangeID, At: e.at})
	}
	return changes
}
