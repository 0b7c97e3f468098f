package shelf

import (
	"sync"

	"poplarhook.example/poplarhook/models/view"
)

// Shelf holds one view, safe for concurrent use.
type Shelf[T any] struct {
	mu     sync.Mutex
	view   view.View[T]
	notify []func(v view.View[T])
}

// New returns a Shelf without a view that calls each hook with every newer one, in order.
func New[T any](hooks ...func(v view.View[T])) *Shelf[T] {
	return &Shelf[T]{notify: hooks}
}

// Put takes in a view unless a newer one is known.
func (s *Shelf[T]) Put(v view.View[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
