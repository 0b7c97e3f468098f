package leasemanager

import (
	"context"
	"strings"
	"sync"
	"time"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leasekeeper"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

// KeyPrefix is the prefix of the key of each lease in the store.
const KeyPrefix = "leases/cold/"

const (
	// idleLeaseTime is how long a lease is kept after it was last needed for cold endpoints of its shard, so that it
	// does not move between hosts without need.
	idleLeaseTime = 30 * time.Second
	// reviewInterval is the time between two checks for leases of shards that this host no longer owns.
	reviewInterval = 100 * time.Millisecond
	// permissionTTL is how long a permission to grant credits for cold endpoints lasts unless it is requested again.
	permissionTTL = 250 * time.Millisecond
)

// store stores the leases.
type store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
}

// Manager manages one lease for each shard that has cold endpoints. It is safe for concurrent use.
type Manager struct {
	store  store
	holder string
	ttl    time.Duration
	// workDeadline is the maximum time from sending work under a lease to the end of that work.
	workDeadline time.Duration
	// sendTimeout is how long after its grant a cold credit may still be used.
	sendTimeout time.Duration
	clock       func() time.Time
	isOwner     func(now time.Time, shard string) bool

	mu          sync.Mutex
	ctx         context.Context
	shardLeases map[string]*shardLease
}

// shardLease is the lease of one shard.
type shardLease struct {
	*leasekeeper.Leasekeeper
	done <-chan struct{}
	// wanted is true while this host wants the lease; the lease is released once it does not.
	wanted bool
	// neededAt is when work last waited for credits of the shard's cold endpoints, zero once the lease was given up.
	neededAt time.Time
	// permissionRequestedAt is when a permission was last requested, which the shard's owner does repeatedly.
	permissionRequestedAt time.Time
}

// New returns a Manager whose leases last for ttl. Work under a lease is sent within sendTimeout of the grant of its
// credit and ends within workDeadline of being sent.
//
// isOwner reports whether this host owns a shard; leases of other shards are released.
func New(s store, holder string, ttl, sendTimeout, workDeadline time.Duration, clock func() time.Time, isOwner func(now time.Time, shard string) bool) *Manager {
	return &Manager{
		store:        s,
		holder:       holder,
		ttl:          ttl,
		workDeadline: workDeadline,
		sendTimeout:  sendTimeout,
		clock:        clock,
		isOwner:      isOwner,
		shardLeases:  make(map[string]*shardLease),
	}
}

// Run manages the leases until the context ends, and then releases them. The channel carries nil when all are
// released.
func (m *Manager) Run(ctx context.Context) <-chan error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		m.releaseUnownedLeases(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, k := range m.shardLeases {
			<-k.done
		}
		done <- nil
	}()
	return done
}

// releaseUnownedLeases releases, at each review interval, the leases of shards that this host no longer owns and for
// which no permission was requested recently.
func (m *Manager) releaseUnownedLeases(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := m.clock()
		m.mu.Lock()
		for shard, k := range m.shardLeases {
			if k.wanted && !m.isOwner(now, shard) && now.Sub(k.permissionRequestedAt) > permissionTTL {
				k.wanted = false
				k.neededAt = time.Time{}
				k.SetWanted(false)
			}
		}
		m.mu.Unlock()
	}
}

// PermittedUntil returns until when this host may grant credits for the shard's cold endpoints, zero if it may not.
//
// needed is true while work waits for such credits. The owner of the shard calls this repeatedly, since each permission
// lasts for a short time only.
func (m *Manager) PermittedUntil(now time.Time, shard string, needed bool) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.shardLeases[shard]
	if k == nil && (!needed || m.ctx == nil || m.ctx.Err() != nil) {
		return time.Time{}
	}
	if k == nil {
		k = m.startLease(shard)
	}
	k.permissionRequestedAt = now
	if needed {
		k.neededAt = now
	}
	if wanted := now.Sub(k.neededAt) < idleLeaseTime; wanted != k.wanted {
		k.wanted = wanted
		k.SetWanted(wanted)
	}
	until := k.UsableUntil()
	if !needed || until.IsZero() {
		return time.Time{}
	}
	if limit := now.Add(permissionTTL); limit.Before(until) {
		until = limit
	}
	k.MarkUsedUntil(until.Add(m.sendTimeout))
	return until
}

// Leases returns the leases that this host has wanted, as last read from the store or written to it.
func (m *Manager) Leases() []lease.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	var leases []lease.Lease
	for _, k := range m.shardLeases {
		leases = append(leases, k.LastSeen())
	}
	return leases
}

// startLease starts to manage the lease of a shard; the caller holds the lock.
func (m *Manager) startLease(shard string) *shardLease {
	key := KeyPrefix + strings.ReplaceAll(shard, " ", "_")
	stateMachine := leaser.New(m.holder, m.ttl, m.workDeadline)
	k := &shardLease{Leasekeeper: leasekeeper.New(m.store, key, stateMachine, leasekeeper.WithClock(m.clock))}
	k.done = k.Start(m.ctx)
	m.shardLeases[shard] = k
	return k
}
