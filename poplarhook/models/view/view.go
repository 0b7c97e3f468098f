package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"poplarhook.example/lib/change"
)

// View holds the items of one kind at one revision of the store. It is immutable.
type View[T any] struct {
	Items    map[string]T
	Revision int64
	// ConfirmedAt is when the source of the view, the store or another host, last confirmed that the view is current.
	ConfirmedAt time.Time
	// Changed holds the differences from the previous view. It is nil when all items were received at once.
	Changed []change.Change[T]
	// Since is the revision of the previous view when Changed is only the net difference from it, and zero when Changed
	// has every item that changed. A net difference must not be applied to a view that is newer than Since.
	Since int64
	// Previous is the revision that the receiver's own view had right before this one; it is set only for hooks.
	Previous int64
}

// WithChanges returns the view after the changes, which its source sent at the given time.
func (v View[T]) WithChanges(changes []change.Change[T], revision int64, confirmedAt time.Time) View[T] {
	next := View[T]{Items: maps.Clone(v.Items), Revision: revision, ConfirmedAt: confirmedAt, Changed: changes}
	if next.Items == nil {
		next.Items = make(map[string]T)
	}
	for _, c := range changes {
		if c.Removed {
			delete(next.Items, c.Name)
			continue
		}
		next.Items[c.Name] = c.Value
	}
	return next
}

// WithSince returns a copy whose changes are the net difference from a view of the given revision.
func (v View[T]) WithSince(revision int64) View[T] {
	v.Since = revision
	return v
}

// ChangesTo returns a change for every item of the other view, also if it is equal in this one, and a removal for every
// item that only this view has, sorted by name.
func (v View[T]) ChangesTo(other View[T]) []change.Change[T] {
	changes := make([]change.Change[T], 0, len(other.Items))
	for name, value := range other.Items {
		changes = append(changes, change.Change[T]{Name: name, Value: value})
	}
	for name := range v.Items {
		if _, still := other.Items[name]; !still {
			changes = append(changes, change.Change[T]{Name: name, Removed: true})
		}
	}
	slices.SortFunc(changes, func(a, b change.Change[T]) int { return strings.Compare(a.Name, b.Name) })
	return changes
}
