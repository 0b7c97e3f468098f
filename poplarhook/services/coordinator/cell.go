package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"poplarhook.example/lib/admitter"
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
	// active says that the cell is among those that are visited at each tick.
	active atomic.Bool
	// admitter names the waiting requests that cannot be answered in time.
	admitter *admitter.Admitter
}

func newCell(g group.Group, a *arbiter.Arbiter) *cell {
	return &cell{group: g, arbiter: a, waiting: make(map[uint64]chan binding.Binding), admitter: admitter.New()}
}

func (c *cell) deliver(now time.Time, b binding.Binding) bool {
	waiter, waits := c.waiting[b.ID]
	if !waits {
		return false
	}
	c.admitter.Start(now, b.ID)
	delete(c.waiting, b.ID)
	waiter <- b
	return true
}

func (c *cell) expire(now time.Time, id uint64) {
	c.admitter.Drop(now, id)
	if waiter, waits := c.waiting[id]; waits {
		delete(c.waiting, id)
		close(waiter)
	}
}
