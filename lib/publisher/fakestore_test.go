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

// faults are the shares, from 0 to 1, of the calls that each fault affects. A call that is unavailable fails with
// ErrUnavailable. A write whose reply is lost takes effect, one whose request is lost never does, and a delayed one is
// applied during a later call or not at all; its caller gets ErrUnknownOutcome in all three cases. A stale read returns
// an older version, or no object at all.
type faults struct {
	unavailable, replyLost, requestLost, delayed, stale float64
}

// fakeStore is an in-memory store that fails calls, loses or delays writes and returns outdated objects, with the
// probabilities in faults.
type fakeStore struct {
	mu            sync.Mutex
	random        *rand.Rand
	faults        faults
	version       int64
	objects       map[string][]object.Object
	delayedWrites []func()
	// recentIndexes holds the newest indexes, at most index.MaxHistory.
	recentIndexes []index.Index
	// deletions counts the calls of Delete.
	deletions int
	// missing lists the documents that were deleted while one of recentIndexes still named them.
	missing []string
}

func newFakeStore(seed uint64, faults faults) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, seed)), faults: faults, objects: map[string][]object.Object{}}
}

func (s *fakeStore) setFaults(faults faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *fakeStore) Get(ctx context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDelayed()
	if ctx.Err() != nil || s.faultOccurs(s.faults.unavailable) {
		return object.Object{}, storer.ErrUnavailable
	}
	versions := s.objects[key]
	if len(versions) > 0 && s.faultOccurs(s.faults.stale) {
		versions = versions[:s.random.IntN(len(versions))]
	}
	if len(versions) == 0 || versions[len(versions)-1].Value == nil {
		return object.Object{}, storer.ErrNotFound
	}
	return versions[len(versions)-1], nil
}

func (s *fakeStore) Delete(ctx context.Context, key string, preconditions ...storer.Precondition) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deletions++
	_, err := s.applyWrite(ctx, preconditions, func(header http.Header) (int64, error) { return s.remove(key, header) })
	return err
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyWrite(ctx, preconditions, func(header http.Header) (int64, error) { return s.write(key, value, header) })
}

// applyWrite applies a write immediately, later or never, and loses some replies. The caller must hold the mutex.
func (s *fakeStore) applyWrite(
	ctx context.Context, preconditions []storer.Precondition, apply func(http.Header) (int64, error),
) (int64, error) {
	s.applyDelayed()
	header := http.Header{}
	for _, precondition := range preconditions {
		precondition(header)
	}
	switch {
	case ctx.Err() != nil || s.faultOccurs(s.faults.unavailable):
		return 0, storer.ErrUnavailable
	case s.faultOccurs(s.faults.requestLost):
		return 0, storer.ErrUnknownOutcome
	case s.faultOccurs(s.faults.delayed):
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = apply(header) })
		return 0, storer.ErrUnknownOutcome
	}
	version, err := apply(header)
	if s.faultOccurs(s.faults.replyLost) {
		return 0, storer.ErrUnknownOutcome
	}
	return version, err
}

func (s *fakeStore) write(key string, value []byte, header http.Header) (int64, error) {
	if !s.meetsPreconditions(key, header) {
		return 0, storer.ErrConflict
	}
	s.version++
	written := object.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = append(s.objects[key], written)
	if key == index.Key {
		s.recordIndex(written)
	}
	s.recordMissing()
	return s.version, nil
}

func (s *fakeStore) remove(key string, header http.Header) (int64, error) {
	if !s.meetsPreconditions(key, header) {
		return 0, storer.ErrConflict
	}
	if !s.exists(key) {
		return 0, storer.ErrNotFound
	}
	s.version++
	s.objects[key] = append(s.objects[key], object.Object{Key: key, Version: s.version})
	s.recordMissing()
	return s.version, nil
}

// recordMissing adds to missing each document that a recent index names and the store no longer has.
func (s *fakeStore) recordMissing() {
	for _, x := range s.recentIndexes {
		for _, entry := range x.Documents {
			if !s.exists(entry.Key) {
				s.missing = append(s.missing, fmt.Sprintf("%s of revision %d", entry.Key, x.Revision))
			}
		}
	}
}

// recordIndex adds the index to the recent ones and drops those that are older than the history.
func (s *fakeStore) recordIndex(stored object.Object) {
	x, err := assembler.Decode(stored)
	if err != nil {
		panic(err)
	}
	s.recentIndexes = append(s.recentIndexes, x)
	s.recentIndexes = s.recentIndexes[max(len(s.recentIndexes)-index.MaxHistory, 0):]
}

// countDocuments returns the number of documents in the fake store.
func (s *fakeStore) countDocuments() int {
	count := 0
	for key := range s.objects {
		if key != index.Key && s.exists(key) {
			count++
		}
	}
	return count
}

func (s *fakeStore) exists(key string) bool {
	versions := s.objects[key]
	return len(versions) > 0 && versions[len(versions)-1].Value != nil
}

func (s *fakeStore) meetsPreconditions(key string, header http.Header) bool {
	if header.Get("If-None-Match") == "*" && s.exists(key) {
		return false
	}
	tag := header.Get("If-Match")
	if tag == "" {
		return true
	}
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	versions := s.objects[key]
	return err == nil && s.exists(key) && versions[len(versions)-1].Version == version
}

// applyDelayed applies the oldest delayed write, with a probability of 0.3.
func (s *fakeStore) applyDelayed() {
	if len(s.delayedWrites) > 0 && s.faultOccurs(0.3) {
		write := s.delayedWrites[0]
		s.delayedWrites = s.delayedWrites[1:]
		write()
	}
}

func (s *fakeStore) faultOccurs(share float64) bool {
	return share > 0 && s.random.Float64() < share
}
