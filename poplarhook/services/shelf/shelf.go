package shelf

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
)

// ErrApart says that the changes which another host told start from another state than this host's view.
var ErrApart = errors.New("changes do not fit the view")

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

// Get returns the newest view.
func (s *Shelf[T]) Get() view.View[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// PutList takes in a whole list unless a newer view is known.
func (s *Shelf[T]) PutList(v view.View[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putList(v)
}

// PutWatched takes in every change since the view before, as the store tells them; items of which all changes say nothing
// new are left out.
func (s *Shelf[T]) PutWatched(v view.View[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Revision <= s.view.Revision {
		return
	}
	news := s.news(v.HeardAt, v.Changed)
	if len(news) == 0 {
		s.view.Revision = v.Revision
		return
	}
	s.accept(s.view.With(news, v.Revision, v.HeardAt))
}

// PutTold takes in what another host tells, a whole list or changes, unless a newer view is known; the error Is ErrApart.
func (s *Shelf[T]) PutTold(v view.View[T]) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case v.Changed == nil:
		s.putList(v)
	case v.Revision <= s.view.Revision:
	case s.view.Revision == 0 || v.Since > 0 && s.view.Revision > v.Since:
		return ErrApart
	default:
		s.accept(s.view.With(v.Changed, v.Revision, v.HeardAt).WithSince(v.Since))
	}
	return nil
}

// accept makes the view the newest one; the lock is held.
func (s *Shelf[T]) accept(v view.View[T]) {
	s.view = v
	for _, hook := range s.notify {
		hook(v)
	}
}

// putList accepts a list, and tells only what differs where the kind allows that; the lock is held.
func (s *Shelf[T]) putList(v view.View[T]) {
	before := s.view
	if v.Revision < before.Revision {
		return
	}
	if s.isSame == nil || before.Revision == 0 {
		s.accept(v)
		return
	}
	differences := s.news(v.HeardAt, before.ChangesTo(v))
	switch {
	case v.Revision > before.Revision:
		v.Changed, v.Since = differences, before.Revision
		s.accept(v)
	case len(differences) > 0:
		s.accept(v)
	}
}

// news returns the last change of each item of which any change says something new; the lock is held.
//
// An item may be as before in the end, but others may have listed it in between.
func (s *Shelf[T]) news(now time.Time, changes []change.Change[T]) []change.Change[T] {
	last := make(map[string]int, len(changes))
	isNews := make(map[string]bool, len(changes))
	for i, c := range changes {
		last[c.Name] = i
		isNews[c.Name] = isNews[c.Name] || s.isNews(now, c)
	}
	news := make([]change.Change[T], 0, len(last))
	for i, c := range changes {
		if last[c.Name] == i && isNews[c.Name] {
			news = append(news, c)
		}
	}
	return news
}

// isNews reports whether the change says something new of its item; the lock is held.
func (s *Shelf[T]) isNews(now time.Time, c change.Change[T]) bool {
	before, known := s.view.Items[c.Name]
	if c.Removed || !known {
		return c.Removed == known
	}
	return s.isSame == nil || !s.isSame(now, before, c.Value)
}
