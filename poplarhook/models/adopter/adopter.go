package adopter

import (
	"sync"
	"time"

	"poplarhook.example/lib/snapshot"
)

// Adopter holds the configuration in force; its revision only rises. It is safe for concurrent use.
type Adopter struct {
	mu        sync.Mutex
	current   snapshot.Snapshot
	adoptedAt time.Time
	awaiting  bool
}

// New returns an Adopter without a configuration that adopts none before Open is called.
func New() *Adopter {
	return &Adopter{awaiting: true}
}

// Open says that the other hosts were heard. A host that has just started must not run what the
// first peer or the store shows it, as either may be behind what the other hosts run.
func (a *Adopter) Open() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaiting = false
}

// Offer adopts the configuration if it is newer than the one in force, and reports whether it did.
func (a *Adopter) Offer(now time.Time, s snapshot.Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaiting || s.Revision <= a.current.Revision {
		return false
	}
	a.current = s
	a.adoptedAt = now
	return true
}

// Current returns the configuration in force, and false before there is one.
func (a *Adopter) Current() (snapshot.Snapshot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.current.Revision > 0
}

// Revision returns the revision in force, zero before there is one.
func (a *Adopter) Revision() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.Revision
}

// AdoptedAt returns when the configuration in force was adopted.
func (a *Adopter) AdoptedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adoptedAt
}
