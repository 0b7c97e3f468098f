package waitlist

import (
	"container/heap"
	"time"
)

// levels is the number of urgency levels, from zero; urgencies outside of them count as the nearest level.
const levels = 3

// Waitlist orders values by decreasing urgency, then by deadline, then by arrival.
type Waitlist[K comparable, V any] struct {
	queues   [levels]queue[K, V]
	items    map[K]*item[K, V]
	arrivals uint64
}

// New returns an empty Waitlist.
func New[K comparable, V any]() *Waitlist[K, V] {
	return &Waitlist[K, V]{items: make(map[K]*item[K, V])}
}

// Len returns the number of waiting values.
func (w *Waitlist[K, V]) Len() int {
	return len(w.items)
}

// Has reports whether a value waits under the key.
func (w *Waitlist[K, V]) Has(key K) bool {
	_, ok := w.items[key]
	return ok
}

// Get returns the value that waits under the key, and false if there is none.
func (w *Waitlist[K, V]) Get(key K) (V, bool) {
	it, ok := w.items[key]
	if !ok {
		var none V
		return none, false
	}
	return it.value, true
}

// Push adds a value and replaces one that waits under the same key.
func (w *Waitlist[K, V]) Push(key K, value V, urgency int, deadline time.Time) {
	w.Remove(key)
	w.arrivals++
	it := &item[K, V]{key: key, value: value, level: clampUrgency(urgency), deadline: deadline, arrival: w.arrivals}
	w.items[key] = it
	heap.Push(&w.queues[it.level], it)
}

// Remove removes the key and returns its value, and false if no value waited under it.
func (w *Waitlist[K, V]) Remove(key K) (V, bool) {
	it, ok := w.items[key]
	if !ok {
		var none V
		return none, false
	}
	delete(w.items, key)
	heap.Remove(&w.queues[it.level], it.index)
	return it.value, true
}

// FirstAccepted returns the first key and value in the Waitlist's order for which accept returns true, without removing
// them.
func (w *Waitlist[K, V]) FirstAccepted(accept func(key K, value V, urgency int) bool) (K, V, bool) {
	for i := levels - 1; i >= 0; i-- {
		if it := w.queues[i].firstAccepted(accept); it != nil {
			return it.key, it.value, true
		}
	}
	var key K
	var value V
	return key, value, false
}

// Expire removes the values that have reached their deadline and calls expired for each, in the Waitlist's order.
func (w *Waitlist[K, V]) Expire(now time.Time, expired func(key K, value V)) {
	for i := levels - 1; i >= 0; i-- {
		for len(w.queues[i]) > 0 && !now.Before(w.queues[i][0].deadline) {
			it := w.queues[i][0]
			w.Remove(it.key)
			expired(it.key, it.value)
		}
	}
}

// Keys returns the keys in the Waitlist's order.
func (w *Waitlist[K, V]) Keys() []K {
	keys := make([]K, 0, len(w.items))
	w.FirstAccepted(func(key K, _ V, _ int) bool {
		keys = append(keys, key)
		return false
	})
	return keys
}

// Deadline returns the deadline of the value under the key, or the zero time if there is none.
func (w *Waitlist[K, V]) Deadline(key K) time.Time {
	if it, ok := w.items[key]; ok {
		return it.deadline
	}
	return time.Time{}
}

func clampUrgency(urgency int) int {
	return min(max(urgency, 0), levels-1)
}
