package publisher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/validator"
)

var changedAt = time.Date(2026, 4, 3, 2, 1, 0, 0, time.UTC)

func teamDocument(team, prefix string) document.Document {
	return document.Document{Team: team, Classes: []class.Class{{
		Name: "lookups", Methods: []string{"GET"}, PathPrefix: prefix, Service: "stock", Execution: class.Idempotent,
		LatencyTargetMS: 50, DeadlineMS: 500, Spill: class.SpillNever, Urgency: class.UrgencyHigh,
	}}}
}

func documentProposal(id, team, prefix string) proposal.Proposal {
	return proposal.ForDocument(id, "tester", changedAt, teamDocument(team, prefix))
}

func noPause(context.Context, time.Duration) error { return nil }

func newPublisher(store *fakeStore, options ...publisher.Option) *publisher.Publisher {
	options = append([]publisher.Option{publisher.WithPause(noPause)}, options...)
	return publisher.New(store, validator.New(validator.WithZones("fuerth")), options...)
}

func TestPublish(t *testing.T) {
	ctx := t.Context()
	p := newPublisher(newFakeStore(1, faults{}))
	first, err := p.Publish(ctx, documentProposal("change-0001", "a", "/a").WithBase(0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first, qt.DeepEquals, index.Change{
		Revision: 1, ChangeID: "change-0001", Author: "tester", Summary: "document of a with 1 classes", At: changedAt,
	})
	_, err = p.Publish(ctx, proposal.ForZoneOut("change-0002", "tester", changedAt, "fuerth"))
	qt.Assert(t, err, qt.IsNil)
	again, err := p.Publish(ctx, documentProposal("change-0001", "a", "/a").WithBase(0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.DeepEquals, first)

	snap, err := p.Snapshot(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snap.Revision, qt.Equals, int64(2))
	qt.Assert(t, snap.Documents, qt.DeepEquals, []document.Document{teamDocument("a", "/a")})
	qt.Assert(t, snap.IsZoneOut("fuerth"), qt.IsTrue)

	_, err = p.Publish(ctx, proposal.ForZoneIn("change-0003", "tester", changedAt, "fuerth"))
	qt.Assert(t, err, qt.IsNil)
	found, err := p.Change(ctx, "change-0003")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found.Summary, qt.Equals, "zone fuerth in")
	_, err = p.Change(ctx, "change-0004")
	qt.Assert(t, err, qt.ErrorIs, publisher.ErrUnknownChange)
}

func TestPublishRefuses(t *testing.T) {
	ctx := t.Context()
	store := newFakeStore(1, faults{})
	p := newPublisher(store)
	for _, accepted := range []proposal.Proposal{documentProposal("change-0001", "a", "/a"), documentProposal("change-0002", "a", "/aa")} {
		_, err := p.Publish(ctx, accepted)
		qt.Assert(t, err, qt.IsNil)
	}
	before, version, err := p.Index(ctx)
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct {
		proposal proposal.Proposal
		want     error
		message  string
	}{
		{documentProposal("change-0003", "a", "/b").WithBase(1), publisher.ErrConflict, `change change-0002 \(.*\) by tester at revision 2, after the base revision 1: .*`},
		{documentProposal("change-0002", "a", "/b"), publisher.ErrChangeIDUsed, ".*holds another document.*"},
		{documentProposal("change-0001", "b", "/b"), publisher.ErrChangeIDUsed, ".*document of a.*"},
		{proposal.ForZoneOut("change-0001", "tester", changedAt, "fuerth"), publisher.ErrChangeIDUsed, ".*document of a.*"},
		{documentProposal("change-0004", "b", "/aa/deep"), validator.ErrInvalid, `(?s).*overlap that of class lookups of team a.*`},
		{documentProposal("change-0005", "b", "b"), validator.ErrInvalid, `classes\[0\].path_prefix: "b" .*`},
		{documentProposal("id", "b", "/b"), validator.ErrInvalid, `change_id: "id" .*`},
		{proposal.ForZoneOut("change-0006", "tester", changedAt, "bamberg"), validator.ErrInvalid, `zone: "bamberg" is not allowed: one of fuerth`},
		{proposal.ForZoneIn("change-0007", "tester", changedAt, "bamberg"), validator.ErrInvalid, `zone: "bamberg" is not allowed: one of fuerth`},
	} {
		_, err := p.Publish(ctx, test.proposal)
		qt.Check(t, err, qt.ErrorIs, test.want)
		qt.Check(t, err, qt.ErrorMatches, test.message)
	}
	after, same, err := p.Index(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, same, qt.Equals, version)
	qt.Assert(t, after, qt.DeepEquals, before)
}

// hookedStore calls beforeIndexUpdate right before each write of the index.
type hookedStore struct {
	*fakeStore
	beforeIndexUpdate func()
}

func (s *hookedStore) Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error) {
	if key == index.Key {
		s.beforeIndexUpdate()
	}
	return s.fakeStore.Put(ctx, key, value, preconditions...)
}

func TestPublishDuringConcurrentChanges(t *testing.T) {
	ctx := t.Context()
	for _, test := range []struct {
		name string
		// concurrent returns the change that another publisher commits before each of the first updates of the index.
		concurrent func(id string) proposal.Proposal
		// times is the number of those updates.
		times int
		want  error
	}{
		{"other team", func(id string) proposal.Proposal { return documentProposal(id, "b", "/b") }, 3, nil},
		{"zone", func(id string) proposal.Proposal { return proposal.ForZoneOut(id, "tester", changedAt, "fuerth") }, 3, nil},
		{"same team", func(id string) proposal.Proposal { return documentProposal(id, "a", "/b") }, 1, publisher.ErrConflict},
		{"overlap", func(id string) proposal.Proposal { return documentProposal(id, "b", "/a/deep") }, 1, validator.ErrInvalid},
		{"more changes than rebases", func(id string) proposal.Proposal { return documentProposal(id, "b", "/b") }, 100, publisher.ErrConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newFakeStore(1, faults{})
			otherPublisher := newPublisher(store)
			count := 0
			p := publisher.New(&hookedStore{fakeStore: store, beforeIndexUpdate: func() {
				if count++; count > test.times {
					return
				}
				_, err := otherPublisher.Publish(ctx, test.concurrent(fmt.Sprintf("other-%04d", count)))
				qt.Assert(t, err, qt.IsNil)
			}}, validator.New(), publisher.WithPause(noPause), publisher.WithMaxRebases(5))
			_, err := p.Publish(ctx, documentProposal("change-0001", "a", "/a"))
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorIs, test.want)
			_, err = otherPublisher.Change(ctx, "change-0001")
			qt.Assert(t, err, qt.ErrorIs, publisher.ErrUnknownChange)
		})
	}
}

// publishOnce publishes the proposal and cancels the publish at its first pause, so that nothing is tried again.
func publishOnce(t *testing.T, store *fakeStore, proposed proposal.Proposal) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cancelAtPause := publisher.WithPause(func(context.Context, time.Duration) error {
		cancel()
		return nil
	})
	_, err := newPublisher(store, cancelAtPause).Publish(ctx, proposed)
	return err
}

func TestPublishDuringStoreFaults(t *testing.T) {
	store := newFakeStore(1, faults{unavailable: 1})
	qt.Assert(t, publishOnce(t, store, documentProposal("change-0001", "a", "/a")), qt.ErrorIs, publisher.ErrUnavailable)

	store.setFaults(faults{replyLost: 1})
	out := proposal.ForZoneOut("change-0002", "tester", changedAt, "fuerth")
	qt.Assert(t, publishOnce(t, store, out), qt.ErrorIs, publisher.ErrUnknownOutcome)
	store.setFaults(faults{})
	change, err := newPublisher(store).Publish(t.Context(), out)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, change.Revision, qt.Equals, int64(1))
}

// The callback for accepted changes must get all that a host needs to apply a change while the store is unavailable.
func TestAcceptedChangeIsAppliedWithoutStore(t *testing.T) {
	store := newFakeStore(1, faults{replyLost: 0.5})
	hostAssembler := assembler.New(newFakeStore(1, faults{unavailable: 1}))
	var applied snapshot.Snapshot
	p := newPublisher(store, publisher.WithOnAccepted(func(x index.Index, proposed proposal.Proposal) {
		if doc, ok := proposed.Document(); ok {
			hostAssembler.AddDocument(index.DocumentKey(proposed.ChangeID(), doc.Team), doc)
		}
		var err error
		applied, err = hostAssembler.Assemble(t.Context(), x)
		qt.Assert(t, err, qt.IsNil)
	}))
	for i, proposed := range []proposal.Proposal{
		documentProposal("change-0001", "a", "/a"), proposal.ForZoneOut("change-0002", "tester", changedAt, "fuerth"), documentProposal("change-0003", "b", "/b"),
	} {
		_, err := p.Publish(t.Context(), proposed)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, applied.Revision, qt.Equals, int64(i+1))
	}
	qt.Assert(t, applied.Documents, qt.DeepEquals, []document.Document{teamDocument("a", "/a"), teamDocument("b", "/b")})
	qt.Assert(t, applied.IsZoneOut("fuerth"), qt.IsTrue)
}

func TestHistoryIsBounded(t *testing.T) {
	p := newPublisher(newFakeStore(1, faults{}))
	for i := range index.MaxHistory + 5 {
		_, err := p.Publish(t.Context(), proposal.ForZoneOut(fmt.Sprintf("change-%04d", i), "tester", changedAt, "fuerth"))
		qt.Assert(t, err, qt.IsNil)
	}
	x, _, err := p.Index(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.History, qt.HasLen, index.MaxHistory)
	qt.Assert(t, x.History[0].ChangeID, qt.Equals, "change-0104")
	qt.Assert(t, x.HasHistorySince(5), qt.IsTrue)
	qt.Assert(t, x.HasHistorySince(4), qt.IsFalse)
}
