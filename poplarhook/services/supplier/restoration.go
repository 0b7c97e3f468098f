package supplier

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/replica"
)

// restoration is what a host keeps to notice that the store was restored from an older copy. It is safe for concurrent
// use.
type restoration struct {
	mu sync.Mutex
	// newestRevision is the highest revision that this host has received, restoredFrom the highest one before the last
	// restoration, zero if there was none.
	newestRevision int64
	restoredFrom   int64
	// isEntryChecked is true once this host's entry was looked for among those of the restored store.
	isEntryChecked bool
	// entryLost signals that the restored store does not have this host's entry.
	entryLost chan struct{}
}

// recordRevision records the revision of what the store or another host sent, before it is applied. It reports whether
// it is the first one after the store was restored from an older copy, and starts a grace period then: what was written
// since that copy is missing until it has been written again.
func (s *Supplier) recordRevision(revision int64) (restored bool) {
	r := &s.restoration
	r.mu.Lock()
	before := r.newestRevision
	r.newestRevision = max(before, revision)
	restored = s.store.IsRestored(before, revision)
	if restored {
		r.restoredFrom, r.isEntryChecked = before, false
	}
	r.mu.Unlock()
	if !restored {
		return false
	}
	s.counter("store_restored")
	s.logger.Warn("store was restored from an older copy", zap.Int64("revision_before", before), zap.Int64("revision", revision), zap.Duration("grace", s.gracePeriod))
	if s.gracePeriod > 0 {
		s.broadcaster.SetGraceEnd(s.clock().Add(s.gracePeriod))
		s.onGracePeriod(s.gracePeriod)
		s.onRestored(s.gracePeriod)
	}
	return true
}

// firstRevision is an early revision of the store, which any restoration follows.
const firstRevision = 1

// recordOlderList records that the store was restored before this host started, as another host knew a newer configuration.
// This host's entry was written after that.
func (s *Supplier) recordOlderList() {
	r := &s.restoration
	r.mu.Lock()
	r.restoredFrom, r.isEntryChecked = max(r.restoredFrom, firstRevision), true
	r.mu.Unlock()
	s.counter("store_restored")
	s.logger.Warn("store has an older configuration than another host; it was restored from an older copy")
	if s.gracePeriod > 0 {
		s.onRestored(s.gracePeriod)
	}
}

// checkOwnEntry signals that this host's entry is lost if the first list of members after a restoration does not have
// it. A store that still has it needs no further call.
func (s *Supplier) checkOwnEntry(v view.View[host.Host]) {
	r := &s.restoration
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEntryChecked || !s.store.IsRestored(r.restoredFrom, v.Revision) {
		return
	}
	r.isEntryChecked = true
	if entry, listed := v.Items[s.self.ID]; listed && isSameHost(s.clock(), entry, s.self) {
		return
	}
	select {
	case r.entryLost <- struct{}{}:
	default:
	}
}

// awaitLostEntry waits until this host's entry must be written again, and reports false if the context ended before.
func (s *Supplier) awaitLostEntry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.restoration.entryLost:
		return true
	}
}

// wasRestored reports whether the store was restored since this host has started.
func (s *Supplier) wasRestored() bool {
	r := &s.restoration
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoredFrom > 0
}

// newestConfiguration passes the configurations that the store has to the replica. A list with an older version leaves the
// known version in place, since the store was restored then, and so does one without a version once that was noticed:
// readers and hosts that start must not get an older one than the others have.
type newestConfiguration struct {
	*replica.Replica[snapshot.Snapshot]
	wasRestored func() bool
	// onOlder is called if a list is the first sign of a restoration.
	onOlder func()
}

func (s *Supplier) newestConfiguration() newestConfiguration {
	return newestConfiguration{Replica: s.configuration, wasRestored: s.wasRestored, onOlder: s.recordOlderList}
}

// PutList applies a list of the configuration.
func (n newestConfiguration) PutList(v view.View[snapshot.Snapshot]) {
	if n.isOlder(v) {
		if !n.wasRestored() {
			n.onOlder()
		}
		v.Items = n.Get().Items
	}
	n.Replica.PutList(v)
}

// isOlder reports whether a list of the restored store has an older version than the known one.
func (n newestConfiguration) isOlder(v view.View[snapshot.Snapshot]) bool {
	listed := newestVersion(v)
	return (listed > 0 || n.wasRestored()) && listed < newestVersion(n.Get()) && !hasUnreadable(v)
}

// hasUnreadable reports whether the store's configuration cannot be read at all, which the operators must learn.
func hasUnreadable(v view.View[snapshot.Snapshot]) bool {
	for _, s := range v.Items {
		if s.IsUnreadable() {
			return true
		}
	}
	return false
}

// newestVersion returns the highest version in the view, zero if it has none that can be read.
func newestVersion(v view.View[snapshot.Snapshot]) int64 {
	var newest int64
	for _, s := range v.Items {
		newest = max(newest, s.Revision)
	}
	return newest
}
