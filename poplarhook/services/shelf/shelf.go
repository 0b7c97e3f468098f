package shelf

import (
	"sync"
	"time"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
)

// Shelf holds one view, safe for concurrent use.
type Shelf[T any] struct {
	// isSame tells whether an item's new value says nothing new.
	isSame func(now time.Time, before, after T) bool

	mu     sync.Mutex
	view   view.View[T]
	notify []func(v view.View[T])
}

// New returns a Shelf without a view that calls each hook with every newer one, in order; isSame tells whether an item's
// new value says nothing new, nil for kinds of which every change is news.
func New[T any](isSame func(now time.Time, before, after T) bool, hooks ...func(v view.View[T])) *Shelf[T] {
	return &Shelf[T]{isSame: isSame, notify: hooks}
}

// Put takes in a view unless a newer one is known; what says nothing new is left out.
func (s *Shelf[T]) Put(v view.View[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, hasNews := s.onlyNews(v)
	if !hasNews {
		s.view.Revision = max(s.view.Revision, v.Revision)
		return
	}
	next, newer := s.view.Merge(v)
	if !newer {
		return
	}
	s.view = next
	for _, hook := range s.notify {
		hook(next)
	}
}

// Get returns the newest view.
func (s *Shelf[T]) Get() view.View[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// onlyNews returns the view with only the changes that say something new, also of a newer whole list, and whether there
// are any. The lock is held.
func (s *Shelf[T]) onlyNews(v view.View[T]) (view.View[T], bool) {
	isList := v.Changed == nil
	if s.isSame == nil || v.Revision < s.view.Revision || (isList && s.view.Revision == 0) {
		return v, true
	}
	if !isList {
		v.Changed = s.news(v.HeardAt, v.Changed)
		return v, len(v.Changed) > 0
	}
	news := s.news(v.HeardAt, s.view.ChangesTo(v))
	if v.Revision > s.view.Revision {
		v.Changed = news
	}
	return v, len(news) > 0
}

// news returns the changes that say something new; the lock is held.
func (s *Shelf[T]) news(now time.Time, changes []change.Change[T]) []change.Change[T] {
	news := make([]change.Change[T], 0, len(changes))
	for _, c := range changes {
		before, known := s.view.Items[c.Name]
		switch {
		case c.Removed && !known:
		case !c.Removed && known && s.isSame(now, before, c.Value):
		default:
			news = append(news, c)
		}
	}
	return news
}
