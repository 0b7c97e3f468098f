package replica

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
)

// ErrBaseMismatch means that changes received from another host start from a different state than this host's view.
var ErrBaseMismatch = errors.New("changes start from a different state than the local view")

// Replica holds the newest view of the items of one kind. It is safe for concurrent use.
type Replica[T any] struct {
	// isSame reports whether the new value of an item is equivalent to the old one.
	isSame func(now time.Time, before, after T) bool

	mu    sync.Mutex
	view  view.View[T]
	hooks []func(v view.View[T])
}

// New returns a Replica without a view that calls each hook with every newer view, in order. isSame reports whether the
// new value of an item is equivalent to the old one; it is nil for kinds of which every change is significant.
func New[T any](isSame func(now time.Time, before, after T) bool, hooks ...func(v view.View[T])) *Replica[T] {
	return &Replica[T]{isSame: isSame, hooks: hooks}
}

// Get returns the newest view.
func (r *Replica[T]) Get() view.View[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// PutList applies a complete list unless a newer view is known.
func (r *Replica[T]) PutList(v view.View[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putList(v)
}

// PutWatched applies the changes since the previous view, as a watch of the store returns them. It leaves out items
// whose changes are all insignificant.
func (r *Replica[T]) PutWatched(v view.View[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Revision <= r.view.Revision {
		return
	}
	significant := r.significantChanges(v.ConfirmedAt, v.Changed)
	if len(significant) == 0 {
		r.view.Revision = v.Revision
		return
	}
	r.accept(r.view.WithChanges(significant, v.Revision, v.ConfirmedAt))
}

// PutReceived applies a complete list or changes from another host unless a newer view is known. It returns
// ErrBaseMismatch for changes that start from a different state than the local view.
func (r *Replica[T]) PutReceived(v view.View[T]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case v.Changed == nil:
		r.putList(v)
	case v.Revision <= r.view.Revision:
	case r.view.Revision == 0 || v.Since > 0 && r.view.Revision > v.Since:
		return ErrBaseMismatch
	default:
		r.accept(r.view.WithChanges(v.Changed, v.Revision, v.ConfirmedAt).WithSince(v.Since))
	}
	return nil
}

// Difference leads to a new view from one of the revisions From to Since.
type Difference[T any] struct {
	Revision    int64
	From, Since int64
	ConfirmedAt time.Time
	// Apply returns the changed items, or an error that wraps ErrBaseMismatch if the items are not the base.
	Apply func(items map[string]T) ([]change.Change[T], error)
}

// PutDifference applies a difference from another host unless a newer view is known. It returns ErrBaseMismatch if the
// local view is not the one that the difference starts from.
func (r *Replica[T]) PutDifference(d Difference[T]) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case d.Revision <= r.view.Revision:
		return nil
	case r.view.Revision < d.From || r.view.Revision > d.Since:
		return ErrBaseMismatch
	}
	changed, err := d.Apply(r.view.Items)
	if err != nil {
		return err
	}
	r.accept(r.view.WithChanges(changed, d.Revision, d.ConfirmedAt))
	return nil
}

// accept makes the given view the newest one and passes it to every hook; the caller holds the lock.
func (r *Replica[T]) accept(v view.View[T]) {
	v.Previous = r.view.Revision
	r.view = v
	for _, hook := range r.hooks {
		hook(v)
	}
}

// putList accepts a complete list unless a newer view is known. If the kind has an isSame function, it passes only the
// differences on to the hooks. The caller holds the lock.
func (r *Replica[T]) putList(v view.View[T]) {
	before := r.view
	if v.Revision < before.Revision {
		return
	}
	if r.isSame == nil || before.Revision == 0 {
		r.accept(v)
		return
	}
	differences := r.significantChanges(v.ConfirmedAt, before.ChangesTo(v))
	switch {
	case v.Revision > before.Revision:
		v.Changed, v.Since = differences, before.Revision
		r.accept(v)
	case len(differences) > 0:
		r.accept(v)
	}
}

// significantChanges returns the last change of each item that has any significant change; the caller holds the lock.
//
// An item that ends in its earlier state is included, since other hosts may
// have listed the store in between.
func (r *Replica[T]) significantChanges(now time.Time, changes []change.Change[T]) []change.Change[T] {
	last := make(map[string]int, len(changes))
	significant := make(map[string]bool, len(changes))
	for i, c := range changes {
		last[c.Name] = i
		significant[c.Name] = significant[c.Name] || r.isSignificant(now, c)
	}
	kept := make([]change.Change[T], 0, len(last))
	for i, c := range changes {
		if last[c.Name] == i && significant[c.Name] {
			kept = append(kept, c)
		}
	}
	return kept
}

// isSignificant reports whether the change alters its item in the view by more than isSame ignores; the caller holds
// the lock.
func (r *Replica[T]) isSignificant(now time.Time, c change.Change[T]) bool {
	before, known := r.view.Items[c.Name]
	if c.Removed || !known {
		return c.Removed == known
	}
	return r.isSame == nil || !r.isSame(now, before, c.Value)
}
