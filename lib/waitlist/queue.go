package waitlist

import (
	"container/heap"
	"time"
)

type item[K comparable, V any] struct {
	key      K
	value    V
	level    int
	deadline time.Time
	arrival  uint64
	index    int
}

// queue is a heap of the items of one urgency level, the earliest deadline first.
type queue[K comparable, V any] []*item[K, V]

func (q queue[K, V]) Len() int { return len(q) }

func (q queue[K, V]) Less(i, j int) bool {
	if c := q[i].deadline.Compare(q[j].deadline); c != 0 {
		return c < 0
	}
	return q[i].arrival < q[j].arrival
}

func (q queue[K, V]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *queue[K, V]) Push(x any) {
	it := x.(*item[K, V])
	it.index = len(*q)
	*q = append(*q, it)
}

func (q *queue[K, V]) Pop() any {
	old := *q
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*q = old[:last]
	return it
}

// firstAccepted returns the first item in order that accept returns true for, or nil. The queue stays unchanged.
func (q *queue[K, V]) firstAccepted(accept func(key K, value V, urgency int) bool) *item[K, V] {
	var rejected []*item[K, V]
	var found *item[K, V]
	for len(*q) > 0 && found == nil {
		top := (*q)[0]
		if accept(top.key, top.value, top.level) {
			found = top
			break
		}
		rejected = append(rejected, heap.Pop(q).(*item[K, V]))
	}
	for _, it := range rejected {
		heap.Push(q, it)
	}
	return found
}
