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

// releaseTimeout bounds giving the lease up after the context has ended.
const releaseTimeout = time.Second

// store is what a Leasekeeper needs of the object store; a write must reach it at most once.
type store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
}

// Leasekeeper keeps one lease in one object of the store, safe for concurrent use.
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

// WithClock sets the source of the present time, which must be monotonic and go on while the process is paused.
func WithClock(clock func() time.Time) Option {
	return func(k *Leasekeeper) { k.clock = clock }
}

// New returns a keeper that owns the leaser from now on.
func New(from store, key string, machine *leaser.Leaser, options ...Option) *Leasekeeper {
	k := &Leasekeeper{store: from, key: key, clock: time.Now, wake: make(chan struct{}, 1), leaser: machine}
	for _, option := range options {
		option(k)
	}
	return k
}

// Want says whether the lease is wanted; an unwanted one is given up.
func (k *Leasekeeper) Want(wanted bool) {
	k.mu.Lock()
	k.leaser.Want(wanted)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Holds returns the epoch and true while the lease may be used; it is called right before each use.
func (k *Leasekeeper) Holds() (epoch int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The clock is read under the lock, as waiting for it takes time.
	return k.leaser.Holds(k.clock())
}

// Use notes that work under the lease may be sent until the given time, which a successor has to wait out.
func (k *Leasekeeper) Use(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaser.Use(until)
}

// Until returns the time from which the lease must not be used, which is past while it may not be used at all.
func (k *Leasekeeper) Until() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaser.Until(k.clock())
}

// Seen returns the lease as the store last showed it, whoever holds it.
func (k *Leasekeeper) Seen() lease.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaser.Seen()
}

// Start keeps the lease until the context ends and gives it up then; the channel reports the end.
func (k *Leasekeeper) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			k.step(ctx)
		}
		k.release(ctx)
	}()
	return done
}

func (k *Leasekeeper) step(ctx context.Context) {
	k.mu.Lock()
	next := k.leaser.Next(k.clock())
	k.mu.Unlock()
	switch next.Kind {
	case leasestep.Read:
		k.read(ctx)
	case leasestep.Write:
		k.write(ctx, next)
	default:
		k.sleep(ctx, next.Wait)
	}
}

func (k *Leasekeeper) read(ctx context.Context) {
	found, err := k.store.Get(ctx, k.key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaser.OnRead(k.clock(), found, err)
}

func (k *Leasekeeper) write(ctx context.Context, next leasestep.Step) {
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

// release gives up what is held, in one try.
func (k *Leasekeeper) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	k.mu.Lock()
	k.leaser.Want(false)
	next := k.leaser.Next(k.clock())
	k.mu.Unlock()
	if next.Kind == leasestep.Write {
		k.write(ctx, next)
	}
}
