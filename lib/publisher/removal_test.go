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
	// maxExtraDocuments is how many documents more than the history names may remain in the store.
	maxExtraDocuments = 4
	// maxDeletionsPerChange is how many calls of Delete one change may make.
	maxDeletionsPerChange = 2
)

func TestReplacedDocumentsAreRemoved(t *testing.T) {
	store := newFakeStore(1, faults{})
	p := newPublisher(store)
	for i := range index.MaxHistory + 50 {
		before := store.deletions
		_, err := p.Publish(t.Context(), documentProposal(fmt.Sprintf("change-%04d", i), "a", fmt.Sprintf("/a%d", i)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, store.deletions-before <= maxDeletionsPerChange, qt.IsTrue)
	}
	qt.Check(t, store.missing, qt.HasLen, 0)
	qt.Check(t, store.countDocuments() <= index.MaxHistory+maxExtraDocuments, qt.IsTrue,
		qt.Commentf("%d documents", store.countDocuments()))
	snap, err := p.Snapshot(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, snap.Documents[0].Classes[0].PathPrefix, qt.Equals, "/a149")
}

// A change that is published again after the history dropped it must be accepted as a new one, even though its
// document may have been removed meanwhile.
func TestChangeDroppedFromHistoryIsAcceptedAgain(t *testing.T) {
	store := newFakeStore(1, faults{})
	p := newPublisher(store)
	for round := range 3 {
		first, err := p.Publish(t.Context(), documentProposal("change-again", "a", "/again"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first.Revision, qt.Equals, int64(round*(index.MaxHistory+10)+1))
		for i := range index.MaxHistory + 9 {
			_, err := p.Publish(t.Context(), documentProposal(fmt.Sprintf("change-%d-%04d", round, i), "a", "/a"))
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Check(t, store.missing, qt.HasLen, 0)
}

// If another publisher removes replaced documents right before a change that the history dropped is accepted again,
// it must not remove the document of that change.
func TestConcurrentRemovalKeepsDocumentOfChangeInProgress(t *testing.T) {
	store := newFakeStore(1, faults{})
	otherPublisher := newPublisher(store)
	again := documentProposal("change-again", "a", "/a")
	_, err := otherPublisher.Publish(t.Context(), again)
	qt.Assert(t, err, qt.IsNil)
	for i := range index.MaxHistory {
		_, err := otherPublisher.Publish(t.Context(), documentProposal(fmt.Sprintf("change-%04d", i), "a", "/a"))
		qt.Assert(t, err, qt.IsNil)
	}
	deletions, rounds := store.deletions, 0
	p := publisher.New(&hookedStore{fakeStore: store, beforeIndexUpdate: func() {
		if rounds++; rounds > 1 {
			return
		}
		_, err := otherPublisher.Publish(t.Context(), documentProposal("change-of-other", "b", "/b"))
		qt.Assert(t, err, qt.IsNil)
	}}, validator.New(), publisher.WithPause(noPause))
	accepted, err := p.Publish(t.Context(), again)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, accepted.Revision, qt.Equals, int64(index.MaxHistory+3))
	qt.Check(t, store.deletions > deletions, qt.IsTrue)
	qt.Check(t, store.missing, qt.HasLen, 0)
	_, err = otherPublisher.Snapshot(t.Context())
	qt.Check(t, err, qt.IsNil)
}

// While operators publish concurrently on a store that loses replies and returns outdated objects, no document that a
// recent index names may be removed.
func TestNoDocumentIsRemovedTooEarly(t *testing.T) {
	for seed := range uint64(10) {
		store := newFakeStore(seed, faults{unavailable: 0.05, replyLost: 0.1, requestLost: 0.05, delayed: 0.1, stale: 0.2})
		var running sync.WaitGroup
		for operator := range operators {
			running.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(operator)))
				for i := range 80 {
					publishRepeatedly(t.Context(), store, fmt.Sprintf("change-%d-%02d", operator, i), random)
				}
			})
		}
		running.Wait()
		qt.Assert(t, store.missing, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Assert(t, store.deletions > 0, qt.IsTrue)
		store.setFaults(faults{})
		x, _, err := newPublisher(store).Index(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, x.Revision > index.MaxHistory, qt.IsTrue, qt.Commentf("revision %d", x.Revision))
	}
}

// publishRepeatedly publishes a change of a random team one or more times and cancels some of the tries during a pause.
func publishRepeatedly(ctx context.Context, store *fakeStore, id string, random *rand.Rand) {
	team := fmt.Sprintf("team_%d", random.IntN(teams))
	for again := true; again; again = random.Float64() < cancelShare {
		tryCtx, cancel := context.WithCancel(ctx)
		cancelAtRandom := publisher.WithPause(func(context.Context, time.Duration) error {
			if random.Float64() < cancelShare {
				cancel()
			}
			return nil
		})
		_, _ = publisher.New(store, validator.New(), cancelAtRandom).Publish(tryCtx, documentProposal(id, team, "/"+team))
		cancel()
	}
}
