package publisher_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

// faults are the shares of calls that go wrong, from 0 to 1.
type faults struct {
	unavailable, lostAfter, lostBefore, delayed, stale float64
}

// fakeStore is a store in memory whose replies get lost, late or outdated.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	faults  faults
	version int64
	objects map[string][]object.Object
	late    []func()
}

func newFakeStore(seed uint64, faults faults) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, seed)), faults: faults, objects: map[string][]object.Object{}}
}

func (s *fakeStore) set(faults faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *fakeStore) Get(ctx context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLate()
	if ctx.Err() != nil || s.hits(s.faults.unavailable) {
		return object.Object{}, storer.ErrUnavailable
	}
	held := s.objects[key]
	if len(held) > 0 && s.hits(s.faults.stale) {
		held = held[:s.random.IntN(len(held))]
	}
	if len(held) == 0 {
		return object.Object{}, storer.ErrNotFound
	}
	return held[len(held)-1], nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLate()
	header := http.Header{}
	for _, precondition := range preconditions {
		precondition(header)
	}
	switch {
	case ctx.Err() != nil || s.hits(s.faults.unavailable):
		return 0, storer.ErrUnavailable
	case s.hits(s.faults.lostBefore):
		return 0, storer.ErrUnknownOutcome
	case s.hits(s.faults.delayed):
		s.late = append(s.late, func() { _, _ = s.write(key, value, header) })
		return 0, storer.ErrUnknownOutcome
	}
	version, err := s.write(key, value, header)
	if s.hits(s.faults.lostAfter) {
		return 0, storer.ErrUnknownOutcome
	}
	return version, err
}

func (s *fakeStore) write(key string, value []byte, header http.Header) (int64, error) {
	held := s.objects[key]
	if header.Get("If-None-Match") == "*" && len(held) > 0 {
		return 0, storer.ErrConflict
	}
	if tag := header.Get("If-Match"); tag != "" {
		version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
		if err != nil || len(held) == 0 || held[len(held)-1].Version != version {
			return 0, storer.ErrConflict
		}
	}
	s.version++
	s.objects[key] = append(held, object.Object{Key: key, Version: s.version, Value: value})
	return s.version, nil
}

// applyLate lets a delayed write take effect before some later call.
func (s *fakeStore) applyLate() {
	if len(s.late) > 0 && s.hits(0.3) {
		write := s.late[0]
		s.late = s.late[1:]
		write()
	}
}

func (s *fakeStore) hits(share float64) bool {
	return share > 0 && s.random.Float64() < share
}
