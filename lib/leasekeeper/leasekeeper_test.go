package leasekeeper_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leasekeeper"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

const (
	key          = "leases/fabric_stock"
	ttl          = 60 * time.Millisecond
	maxDeadline  = 20 * time.Millisecond
	awaitTimeout = 10 * time.Second
)

// fakeStore is a store of one object.
type fakeStore struct {
	mu      sync.Mutex
	current object.Object
	down    bool
}

func (s *fakeStore) Get(context.Context, string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return object.Object{}, storer.ErrUnavailable
	case s.current.Version == 0:
		return object.Object{}, storer.ErrNotFound
	}
	return s.current, nil
}

// Put ignores preconditions, because the tests have only one writer at a time.
func (s *fakeStore) Put(_ context.Context, _ string, value []byte, _ ...storer.Precondition) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, storer.ErrUnavailable
	}
	s.current = object.Object{Key: key, Version: s.current.Version + 1, Value: value}
	return s.current.Version, nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestAcquireRenewAndRelease(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	ctx, cancel := context.WithCancel(t.Context())
	first := leasekeeper.New(s, key, leaser.New("host-a", ttl, maxDeadline))
	done := first.Start(ctx)
	c.Assert(isLeaseHeld(first), qt.IsFalse)
	first.SetWanted(true)
	await(c, func() bool { return isLeaseHeld(first) })
	firstNonce := first.LastSeen().Nonce
	await(c, func() bool { return isLeaseHeld(first) && first.LastSeen().Nonce != firstNonce })
	s.setDown(true)
	await(c, func() bool { return !isLeaseHeld(first) })
	s.setDown(false)
	await(c, func() bool { return isLeaseHeld(first) })
	cancel()
	<-done
	c.Assert(isLeaseHeld(first), qt.IsFalse)
	stored, err := lease.Parse(s.current.Value)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Holder, qt.Equals, "")
	c.Assert(stored.Quarantine(), qt.Equals, maxDeadline)
	lastEpoch := stored.Epoch

	ctx, cancel = context.WithCancel(t.Context())
	second := leasekeeper.New(s, key, leaser.New("host-b", ttl, maxDeadline))
	done = second.Start(ctx)
	second.SetWanted(true)
	await(c, func() bool { return isLeaseHeld(second) })
	epoch, _ := second.Holds()
	c.Assert(epoch, qt.Equals, lastEpoch+1)
	cancel()
	<-done
}

func isLeaseHeld(k *leasekeeper.Leasekeeper) bool {
	_, ok := k.Holds()
	return ok
}

func await(c *qt.C, condition func() bool) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range int(awaitTimeout / time.Millisecond) {
		if condition() {
			return
		}
		<-ticker.C
	}
	c.Fatal("condition not met")
}
