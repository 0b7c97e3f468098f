package publisher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/validator"
)

const (
	// removalSlack is how many documents more than the kept history names may stay for a while.
	removalSlack = 4
	// removalsOfOne is how many calls that delete one change may cost.
	removalsOfOne = 2
)

func TestReplacedDocumentsAreRemoved(t *testing.T) {
	store := newFakeStore(1, faults{})
	p := newPublisher(store)
	for i := range index.MaxHistory + 50 {
		before := store.deletions
		_, err := p.Publish(t.Context(), forShop(fmt.Sprintf("change-%04d", i), "a", fmt.Sprintf("/a%d", i)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, store.deletions-before <= removalsOfOne, qt.IsTrue)
	}
	qt.Check(t, store.missing, qt.HasLen, 0)
	qt.Check(t, store.documents() <= index.MaxHistory+removalSlack, qt.IsTrue, qt.Commentf("%d documents", store.documents()))
	snap, err := p.Snapshot(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, snap.Documents[0].Classes[0].PathPrefix, qt.Equals, "/a149")
}

// A change that is asked for again after the history forgot it is accepted anew, whatever was removed meanwhile.
func TestForgottenChangeIsAcceptedAnew(t *testing.T) {
	store := newFakeStore(1, faults{})
	p := newPublisher(store)
	for round := range 3 {
		first, err := p.Publish(t.Context(), forShop("change-again", "a", "/again"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first.Revision, qt.Equals, int64(round*(index.MaxHistory+10)+1))
		for i := range index.MaxHistory + 9 {
			_, err := p.Publish(t.Context(), forShop(fmt.Sprintf("change-%d-%04d", round, i), "a", "/a"))
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Check(t, store.missing, qt.HasLen, 0)
}

// A rival that removes replaced documents right before a forgotten change is accepted anew leaves its document alone.
func TestRivalLeavesTheDocumentOfAChangeUnderWay(t *testing.T) {
	store := newFakeStore(1, faults{})
	rivals := newPublisher(store)
	again := forShop("change-again", "a", "/a")
	_, err := rivals.Publish(t.Context(), again)
	qt.Assert(t, err, qt.IsNil)
	for i := range index.MaxHistory {
		_, err := rivals.Publish(t.Context(), forShop(fmt.Sprintf("change-%04d", i), "a", "/a"))
		qt.Assert(t, err, qt.IsNil)
	}
	deletions, rounds := store.deletions, 0
	racing := publisher.New(&racer{fakeStore: store, rival: func() {
		if rounds++; rounds > 1 {
			return
		}
		_, err := rivals.Publish(t.Context(), forShop("change-of-rival", "b", "/b"))
		qt.Assert(t, err, qt.IsNil)
	}}, validator.New(), publisher.WithPause(atOnce))
	accepted, err := racing.Publish(t.Context(), again)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, accepted.Revision, qt.Equals, int64(index.MaxHistory+3))
	qt.Check(t, store.deletions > deletions, qt.IsTrue)
	qt.Check(t, store.missing, qt.HasLen, 0)
	_, err = rivals.Snapshot(t.Context())
	qt.Check(t, err, qt.IsNil)
}

// Operators who race through a store that loses replies and shows older objects never miss a document.
func TestNoDocumentIsRemovedTooEarly(t *testing.T) {
	for seed := range uint64(10) {
		store := newFakeStore(seed, faults{unavailable: 0.05, lostAfter: 0.1, lostBefore: 0.05, delayed: 0.1, stale: 0.2})
		var running sync.WaitGroup
		for operator := range operators {
			running.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(operator)))
				for i := range 80 {
					publishOften(t.Context(), store, fmt.Sprintf("change-%d-%02d", operator, i), random)
				}
			})
		}
		running.Wait()
		qt.Assert(t, store.missing, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Assert(t, store.deletions > 0, qt.IsTrue)
		store.set(faults{})
		x, _, err := newPublisher(store).Index(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, x.Revision > index.MaxHistory, qt.IsTrue, qt.Commentf("revision %d", x.Revision))
	}
}

// publishOften publishes a change of a team, at times the same again, by operators who give up at times.
func publishOften(ctx context.Context, store *fakeStore, id string, random *rand.Rand) {
	team := fmt.Sprintf("team_%d", random.IntN(teams))
	for again := true; again; again = random.Float64() < shareOfImpatient {
		trying, cancel := context.WithCancel(ctx)
		impatient := publisher.WithPause(func(context.Context, time.Duration) error {
			if random.Float64() < shareOfImpatient {
				cancel()
			}
			return nil
		})
		_, _ = publisher.New(store, validator.New(), impatient).Publish(trying, forShop(id, team, "/"+team))
		cancel()
	}
}
