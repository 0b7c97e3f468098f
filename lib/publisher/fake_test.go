package publisher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/index"
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
	// kept holds the newest indexes.
	kept []index.Index
	// deletions counts the calls that delete.
	deletions int
	// missing names the documents that were removed too early.
	missing []string
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
	if len(held) == 0 || held[len(held)-1].Value == nil {
		return object.Object{}, storer.ErrNotFound
	}
	return held[len(held)-1], nil
}

func (s *fakeStore) Delete(ctx context.Context, key string, preconditions ...storer.Precondition) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deletions++
	_, err := s.change(ctx, preconditions, func(header http.Header) (int64, error) { return s.remove(key, header) })
	return err
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(ctx, preconditions, func(header http.Header) (int64, error) { return s.write(key, value, header) })
}

// change applies a write now, later or never, and loses some replies; the caller holds the lock.
func (s *fakeStore) change(ctx context.Context, preconditions []storer.Precondition, apply func(http.Header) (int64, error)) (int64, error) {
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
		s.late = append(s.late, func() { _, _ = apply(header) })
		return 0, storer.ErrUnknownOutcome
	}
	version, err := apply(header)
	if s.hits(s.faults.lostAfter) {
		return 0, storer.ErrUnknownOutcome
	}
	return version, err
}

func (s *fakeStore) write(key string, value []byte, header http.Header) (int64, error) {
	if !s.holds(key, header) {
		return 0, storer.ErrConflict
	}
	s.version++
	written := object.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = append(s.objects[key], written)
	if key == index.Key {
		s.keep(written)
	}
	s.check()
	return s.version, nil
}

func (s *fakeStore) remove(key string, header http.Header) (int64, error) {
	if !s.holds(key, header) {
		return 0, storer.ErrConflict
	}
	if !s.isThere(key) {
		return 0, storer.ErrNotFound
	}
	s.version++
	s.objects[key] = append(s.objects[key], object.Object{Key: key, Version: s.version})
	s.check()
	return s.version, nil
}

// check notes the documents that an index of the kept history names and the store no longer holds.
func (s *fakeStore) check() {
	for _, x := range s.kept {
		for _, entry := range x.Documents {
			if !s.isThere(entry.Key) {
				s.missing = append(s.missing, fmt.Sprintf("%s of revision %d", entry.Key, x.Revision))
			}
		}
	}
}

// keep remembers the newest indexes, as many as the history keeps.
func (s *fakeStore) keep(held object.Object) {
	x, err := assembler.Decode(held)
	if err != nil {
		panic(err)
	}
	s.kept = append(s.kept, x)
	s.kept = s.kept[max(len(s.kept)-index.MaxHistory, 0):]
}

// documents counts the documents in the store.
func (s *fakeStore) documents() int {
	count := 0
	for key := range s.objects {
		if key != index.Key && s.isThere(key) {
			count++
		}
	}
	return count
}

func (s *fakeStore) isThere(key string) bool {
	held := s.objects[key]
	return len(held) > 0 && held[len(held)-1].Value != nil
}

func (s *fakeStore) holds(key string, header http.Header) bool {
	if header.Get("If-None-Match") == "*" && s.isThere(key) {
		return false
	}
	tag := header.Get("If-Match")
	if tag == "" {
		return true
	}
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	held := s.objects[key]
	return err == nil && s.isThere(key) && held[len(held)-1].Version == version
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
