package warden

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

// KeyPrefix is the start of the key of each lease in the store.
const KeyPrefix = "leases/cold/"

const (
	// keepFor is how long a lease is kept after its shard last had cold endpoints, so that it does not change hands for nothing.
	keepFor     = 30 * time.Second
	reviewEvery = 100 * time.Millisecond
	// rightFor is how long a right lasts without being asked for again.
	rightFor = 250 * time.Millisecond
)

// store holds the leases.
type store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
}

// Warden keeps one lease for each shard that has cold endpoints, safe for concurrent use.
type Warden struct {
	store    store
	holder   string
	ttl      time.Duration
	deadline time.Duration
	// sendWithin is how long after its grant a cold credit may still be used.
	sendWithin time.Duration
	clock      func() time.Time
	owns       func(now time.Time, shard string) bool

	mu      sync.Mutex
	ctx     context.Context
	keepers map[string]*keeper
}

// keeper is the lease of one shard.
type keeper struct {
	*leasekeeper.Leasekeeper
	ended    <-chan struct{}
	wanted   bool
	neededAt time.Time
	// askedAt is when the right was last asked for, as the shard's owner does.
	askedAt time.Time
}

// New returns a Warden whose leases last for ttl, for work that is sent within sendWithin of its grant and ends within deadline of that.
//
// Owns tells which shards this host owns; the leases of others are given up.
func New(s store, holder string, ttl, sendWithin, deadline time.Duration, clock func() time.Time, owns func(now time.Time, shard string) bool) *Warden {
	return &Warden{
		store:      s,
		holder:     holder,
		ttl:        ttl,
		deadline:   deadline,
		sendWithin: sendWithin,
		clock:      clock,
		owns:       owns,
		keepers:    make(map[string]*keeper),
	}
}

// Run keeps the leases until the context ends and gives them up then; the channel gives the end.
func (w *Warden) Run(ctx context.Context) <-chan error {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		w.review(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, k := range w.keepers {
			<-k.ended
		}
		done <- nil
	}()
	return done
}

// review gives up the leases of shards that this host owns no longer.
func (w *Warden) review(ctx context.Context) {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := w.clock()
		w.mu.Lock()
		for shard, k := range w.keepers {
			if k.wanted && !w.owns(now, shard) && now.Sub(k.askedAt) > rightFor {
				k.wanted = false
				k.neededAt = time.Time{}
				k.Want(false)
			}
		}
		w.mu.Unlock()
	}
}

// Right returns until when this host may grant credits for the shard's cold endpoints, zero if it may not.
//
// Needed says that work waits for some. The owner of the shard asks again and again.
func (w *Warden) Right(now time.Time, shard string, needed bool) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.keepers[shard]
	if k == nil && (!needed || w.ctx == nil || w.ctx.Err() != nil) {
		return time.Time{}
	}
	if k == nil {
		k = w.start(shard)
	}
	k.askedAt = now
	if needed {
		k.neededAt = now
	}
	if wanted := now.Sub(k.neededAt) < keepFor; wanted != k.wanted {
		k.wanted = wanted
		k.Want(wanted)
	}
	until := k.Until()
	if !needed || until.IsZero() {
		return time.Time{}
	}
	if right := now.Add(rightFor); right.Before(until) {
		until = right
	}
	k.Use(until.Add(w.sendWithin))
	return until
}

// Leases returns the leases that this host has wanted, as the store last showed them.
func (w *Warden) Leases() []lease.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	var leases []lease.Lease
	for _, k := range w.keepers {
		leases = append(leases, k.Seen())
	}
	return leases
}

func (w *Warden) start(shard string) *keeper {
	key := KeyPrefix + strings.ReplaceAll(shard, " ", "_")
	machine := leaser.New(w.holder, w.ttl, w.deadline)
	k := &keeper{Leasekeeper: leasekeeper.New(w.store, key, machine, leasekeeper.WithClock(w.clock))}
	k.ended = k.Start(w.ctx)
	w.keepers[shard] = k
	return k
}
