package leasekeeper

import (
	"context"
	"sync"
	"time"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/leasestep"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

// releaseTimeout is the time limit for releasing the lease after the context has ended.
const releaseTimeout = time.Second

// store is the part of the object store that a Leasekeeper uses. A Put must be sent at most once, without retries.
type store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
}

// Leasekeeper acquires, renews and releases one lease, which is one object of the store. It is safe for concurrent use.
type Leasekeeper struct {
	store store
	key   string
	clock func() time.Time
	wake  chan struct{}

	mu     sync.Mutex
	leaser *leaser.Leaser
}

// Option changes a setting of a Leasekeeper.
type Option func(*Leasekeeper)

// WithClock sets the source of the current time, which must be monotonic and must advance while the process is paused.
func WithClock(clock func() time.Time) Option {
	return func(k *Leasekeeper) { k.clock = clock }
}

// New returns a Leasekeeper, which must be the only user of the leaser from then on.
func New(objects store, key string, machine *leaser.Leaser, options ...Option) *Leasekeeper {
	k := &Leasekeeper{store: objects, key: key, clock: time.Now, wake: make(chan struct{}, 1), leaser: machine}
	for _, option := range options {
		option(k)
	}
	return k
}

// SetWanted sets whether this host wants the lease; it releases a lease that it holds and no longer wants.
func (k *Leasekeeper) SetWanted(wanted bool) {
	k.mu.Lock()
	k.leaser.SetWanted(wanted)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Holds returns the lease's epoch and true while this host may use the lease, and records that work may be sent under
// it now. It must be called right before each use.
func (k *Leasekeeper) Holds() (epoch int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The clock is read while the lock is held, because waiting for the lock takes time.
	return k.leaser.Holds(k.clock())
}

// MarkUsedUntil records that work may be sent under the lease until the given time. The next holder waits for the end
// of that work.
func (k *Leasekeeper) MarkUsedUntil(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaser.MarkUsedUntil(until)
}

// UsableUntil returns the time from which the lease must not be used, or the zero time if it must not be used now.
func (k *Leasekeeper) UsableUntil() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaser.UsableUntil(k.clock())
}

// LastSeen returns the newest known state of the lease, which any host may hold.
func (k *Leasekeeper) LastSeen() lease.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaser.LastSeen()
}

// Start maintains the lease in a goroutine until the context ends and then releases it. The returned channel is closed
// after the release.
func (k *Leasekeeper) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			k.runStep(ctx)
		}
		k.releaseLease(ctx)
	}()
	return done
}

func (k *Leasekeeper) runStep(ctx context.Context) {
	k.mu.Lock()
	next := k.leaser.Next(k.clock())
	k.mu.Unlock()
	switch next.Kind {
	case leasestep.Read:
		k.readLease(ctx)
	case leasestep.Write:
		k.writeLease(ctx, next)
	default:
		k.sleep(ctx, next.Wait)
	}
}

func (k *Leasekeeper) readLease(ctx context.Context) {
	found, err := k.store.Get(ctx, k.key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaser.OnRead(k.clock(), found, err)
}

func (k *Leasekeeper) writeLease(ctx context.Context, next leasestep.Step) {
	precondition := storer.IfAbsent()
	if next.IfVersion != 0 {
		precondition = storer.IfVersion(next.IfVersion)
	}
	sentAt := k.clock()
	version, err := k.store.Put(ctx, k.key, next.Value, precondition)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaser.OnWrite(k.clock(), sentAt, version, err)
}

func (k *Leasekeeper) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// releaseLease tries once to release the lease if this host owns it.
func (k *Leasekeeper) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	k.mu.Lock()
	k.leaser.SetWanted(false)
	next := k.leaser.Next(k.clock())
	k.mu.Unlock()
	if next.Kind == leasestep.Write {
		k.writeLease(ctx, next)
	}
}
