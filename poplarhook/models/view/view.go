package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"poplarhook.example/lib/change"
)

// View is the items of one kind at one revision of the store; it never changes.
type View[T any] struct {
	Items    map[string]T
	Revision int64
	// HeardAt is when the source last confirmed the view.
	HeardAt time.Time
	// Changed is what differs from the view before, nil when the items came as a whole.
	Changed []change.Change[T]
	// Since is the revision that the view before had when Changed is only what differs from it in the end, zero when
	// Changed has every item that changed: a view that is newer than Since must not take it in.
	Since int64
}

// With returns the view after the changes, which the source told at the given time.
func (v View[T]) With(changes []change.Change[T], revision int64, heardAt time.Time) View[T] {
	next := View[T]{Items: maps.Clone(v.Items), Revision: revision, HeardAt: heardAt, Changed: changes}
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

// WithSince returns a copy whose changes are what differs in the end from a view of the given revision.
func (v View[T]) WithSince(revision int64) View[T] {
	v.Since = revision
	return v
}

// ChangesTo returns what makes the items of this view those of the other one, in the order of their names; items that are
// the same in both are among it.
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
