package coordinator

import (
	"sync"
	"sync/atomic"

	"poplarhook.example/lib/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/services/arbiter"
)

// cell is one group's arbiter with the requests that wait for it.
type cell struct {
	group group.Group
	// parked says that the group was in no use at its last visit; it is written under the lock.
	parked  atomic.Bool
	mu      sync.Mutex
	arbiter *arbiter.Arbiter
	// waiting holds where each waiting request expects its bond; a closed channel says that none came in time.
	waiting map[uint64]chan binding.Binding
}

func (c *cell) deliver(b binding.Binding) bool {
	waiter, waits := c.waiting[b.ID]
	if !waits {
		return false
	}
	delete(c.waiting, b.ID)
	waiter <- b
	return true
}

func (c *cell) expire(id uint64) {
	if waiter, waits := c.waiting[id]; waits {
		delete(c.waiting, id)
		close(waiter)
	}
}
