package adopter

import (
	"sync"
	"time"

	"poplarhook.example/lib/snapshot"
)

// Adopter holds the configuration that this host has applied. Its revision only rises. It is safe for concurrent use.
type Adopter struct {
	mu              sync.Mutex
	current         snapshot.Snapshot
	adoptedAt       time.Time
	waitingForPeers bool
}

// New returns an Adopter without a configuration, which adopts none before Enable is called.
func New() *Adopter {
	return &Adopter{waitingForPeers: true}
}

// Enable allows the adoption of configurations. It is called when the other hosts' revisions are known: a host that has
// just started must not apply what the first peer or the store offers, as either may be behind the other hosts.
func (a *Adopter) Enable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waitingForPeers = false
}

// Offer adopts the configuration if it is newer than the current one, and reports whether it did.
func (a *Adopter) Offer(now time.Time, s snapshot.Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waitingForPeers || s.Revision <= a.current.Revision {
		return false
	}
	a.current = s
	a.adoptedAt = now
	return true
}

// Current returns the current configuration, and false if there is none yet.
func (a *Adopter) Current() (snapshot.Snapshot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.current.Revision > 0
}

// Revision returns the revision of the current configuration, zero if there is none yet.
func (a *Adopter) Revision() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.Revision
}

// AdoptedAt returns when the current configuration was adopted.
func (a *Adopter) AdoptedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adoptedAt
}
