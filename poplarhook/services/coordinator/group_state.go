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

// groupState is one group's arbiter with the requests that wait for an endpoint of the group.
type groupState struct {
	group group.Group
	// unused is true if the group had neither requests nor credits when it was last processed. It is written under mu.
	unused  atomic.Bool
	mu      sync.Mutex
	arbiter *arbiter.Arbiter
	// waiting holds the channel on which each waiting request receives its binding.
	// A closed channel means that none arrived in time.
	waiting map[uint64]chan binding.Binding
	// active is true while the group is processed at each tick.
	active atomic.Bool
	// admitter finds the waiting requests that cannot be answered in time.
	admitter *admitter.Admitter
}

func newGroupState(g group.Group, a *arbiter.Arbiter) *groupState {
	return &groupState{group: g, arbiter: a, waiting: make(map[uint64]chan binding.Binding), admitter: admitter.New()}
}

func (c *groupState) deliverBinding(now time.Time, b binding.Binding) bool {
	waiter, waits := c.waiting[b.ID]
	if !waits {
		return false
	}
	c.admitter.Start(now, b.ID)
	delete(c.waiting, b.ID)
	waiter <- b
	return true
}

func (c *groupState) expireRequest(now time.Time, id uint64) {
	c.admitter.Drop(now, id)
	if waiter, waits := c.waiting[id]; waits {
		delete(c.waiting, id)
		close(waiter)
	}
}
