package relayer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/wire"
)

var allHostIDs = []string{"r0-a", "r0-b", "r0-c", "r0-d", "r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c"}

// relays returns the ids of the hosts that are relays, and of the others; all hosts must have received each other's
// heartbeats.
func (w *testCluster) relays() (relays, others []string) {
	for id, n := range w.hosts {
		if n.IsRelay(time.Now()) {
			relays = append(relays, id)
		} else {
			others = append(others, id)
		}
	}
	slices.Sort(relays)
	return relays, others
}

// startCluster starts the hosts and waits until all of them run revision 1.
func startCluster(t *testing.T, ids ...string) *testCluster {
	w := newTestCluster(t)
	w.store.accept(1)
	w.start(ids...)
	w.awaitRevision(1)
	return w
}

func TestOnlyTwoRelaysOfEachRegionWatchAndAllHostsAdopt(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	onlyRelaysWatch := func() bool {
		relays, _ := w.relays()
		return len(relays) == 6 && slices.Equal(relays, w.store.watchers())
	}
	w.await(onlyRelaysWatch, "two relays of each region watch")
	w.store.accept(2)
	w.awaitRevision(2)
	w.await(onlyRelaysWatch, "two relays of each region watch again")
	for _, n := range w.hosts {
		n.mu.Lock()
		w.c.Check(len(n.replies) <= 6, qt.IsTrue, qt.Commentf("%s got %d replies", n.id, len(n.replies)))
		n.mu.Unlock()
	}
}

func TestChangeReachesAllHostsIfTheStoreFailsAfterOneRelayReadIt(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	relays, _ := w.relays()
	w.store.setUnreachableFrom(true, allHostIDs...)
	w.store.setUnreachableFrom(false, relays[0])
	w.store.accept(2, "zone-a")
	w.awaitRevision(2, relays[0])
	w.store.setDown(true)
	w.awaitRevision(2)
	for _, n := range w.hosts {
		s, ready := n.Current()
		w.c.Check(ready && s.IsZoneOut("zone-a"), qt.IsTrue)
	}
}

func TestChangeAcceptedThroughAHostPropagatesWhileTheStoreIsDown(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	_, others := w.relays()
	w.store.setDown(true)
	adopted, err := w.hosts[others[0]].Offer(snapshot.Snapshot{Revision: 2})
	w.c.Assert(err, qt.IsNil)
	w.c.Check(adopted, qt.IsTrue)
	w.awaitRevision(2)
}

func TestStaleIndexIsNotAdopted(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b", "r0-c", "r1-a")
	w.store.freezeReads()
	// This change was accepted before reads of the store began to return the old state.
	_, err := w.hosts["r1-a"].Offer(snapshot.Snapshot{Revision: 3})
	w.c.Assert(err, qt.IsNil)
	w.awaitRevision(3)
	w.hosts["r0-a"].stop()
	w.start("r0-a", "r0-z")
	w.awaitRevision(3)
	for _, id := range []string{"r0-a", "r0-z"} {
		n := w.hosts[id]
		n.mu.Lock()
		w.c.Check(n.applied, qt.DeepEquals, []int64{3}, qt.Commentf("%s adopted the stale revision of the store", id))
		n.mu.Unlock()
	}
}

func TestStartingHostWaitsForPeersIfTheIndexIsStale(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b")
	w.store.freezeReads()
	_, err := w.hosts["r0-a"].Offer(snapshot.Snapshot{Revision: 3})
	w.c.Assert(err, qt.IsNil)
	w.awaitRevision(3)
	w.setDropRequests(true)
	w.start("r1-a")
	n := w.hosts["r1-a"]
	w.await(func() bool { return n.counted("index_behind") > 1 }, "the stale index is refused")
	_, ready := n.Current()
	w.c.Check(ready, qt.IsFalse)
	w.setDropRequests(false)
	w.awaitRevision(3)
}

func TestStartingHostRefusesARevisionBelowTheHighestKnown(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b")
	_, err := w.hosts["r0-a"].Offer(snapshot.Snapshot{Revision: 3})
	w.c.Assert(err, qt.IsNil)
	w.awaitRevision(3)
	w.store.setUnreachableFrom(true, "r1-a")
	w.setDropRequests(true)
	w.start("r1-a")
	n := w.hosts["r1-a"]
	w.await(func() bool { return n.counted("request_lost") > 0 }, "a request for the configuration of the peers")
	n.Handle("r0-b", &wire.Frame{Body: &wire.Frame_SnapshotReply{
		SnapshotReply: &wire.SnapshotReply{Revision: 2, SnapshotJson: []byte(`{"revision":2}`)},
	}})
	adopted, err := n.Offer(snapshot.Snapshot{Revision: 2})
	w.c.Assert(err, qt.IsNil)
	w.c.Check(adopted, qt.IsFalse)
	_, ready := n.Current()
	w.c.Check(ready, qt.IsFalse)
	w.setDropRequests(false)
	w.awaitRevision(3)
	n.mu.Lock()
	defer n.mu.Unlock()
	w.c.Check(n.applied, qt.DeepEquals, []int64{3})
}

func TestRelaySendsUnsolicitedToItsRegion(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	relays, _ := w.relays()
	w.store.setUnreachableFrom(true, allHostIDs...)
	w.store.setUnreachableFrom(false, relays[0])
	w.setDropRequests(true)
	w.store.accept(2)
	w.awaitRevision(2, "r0-a", "r0-b", "r0-c", "r0-d")
	w.setDropRequests(false)
	w.awaitRevision(2)
}

func TestHostReadsTheStoreIfNoPeerResponds(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b", "r0-c", "r0-d")
	w.setDropReplies(true)
	w.store.accept(2)
	w.awaitRevision(2)
}

func TestHostThatCannotReachTheStoreAdoptsFromPeers(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	w.store.setUnreachableFrom(true, "r0-a", "r0-b", "r0-c", "r0-d", "r2-b")
	w.store.accept(2)
	w.awaitRevision(2)
}

func TestHostStartsWhileTheStoreIsDown(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b", "r1-a")
	w.store.setDown(true)
	w.start("r0-c", "r2-a")
	_, ready := w.hosts["r0-c"].Current()
	w.c.Check(ready, qt.IsFalse)
	w.awaitRevision(1)
	w.hosts["r0-a"].stop()
	w.hosts["r0-b"].stop()
	w.start("r0-a")
	w.awaitRevision(1)
}

func TestAllHostsRunTheHighestRevisionAfterAPartition(t *testing.T) {
	w := startCluster(t, allHostIDs...)
	left, right := allHostIDs[:5], allHostIDs[5:]
	w.store.setUnreachableFrom(true, right...)
	w.setPartitioned(true, left, right)
	for revision := int64(2); revision <= 5; revision++ {
		w.store.accept(revision)
		w.awaitRevision(revision, left...)
	}
	w.awaitRevision(1, right...)
	w.store.freezeReads()
	w.store.setUnreachableFrom(true, left...)
	w.setPartitioned(false, left, right)
	w.awaitRevision(5)
}

func TestInvalidConfigurationFromAPeerIsRefused(t *testing.T) {
	w := startCluster(t, "r0-a", "r0-b")
	for _, reply := range []*wire.SnapshotReply{
		{Revision: 9, SnapshotJson: []byte(`{"revision":`)},
		{Revision: 9, SnapshotJson: []byte(`{"revision":8}`)},
		{Revision: 0, SnapshotJson: []byte(`{"revision":0}`)},
	} {
		w.hosts["r0-a"].Handle("r0-b", &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: reply}})
	}
	w.awaitRevision(1)
}

func TestUnknownFieldOfALaterReleaseIsPassedOn(t *testing.T) {
	w := startCluster(t, "r0-a")
	encoded := []byte(`{"revision":2,"added_later":true}`)
	w.hosts["r0-a"].Handle("r0-b", &wire.Frame{Body: &wire.Frame_SnapshotReply{
		SnapshotReply: &wire.SnapshotReply{Revision: 2, SnapshotJson: encoded},
	}})
	w.awaitRevision(2)
	w.start("r0-c")
	w.awaitRevision(2)
	n := w.hosts["r0-c"]
	n.mu.Lock()
	defer n.mu.Unlock()
	w.c.Assert(n.replies, qt.Not(qt.HasLen), 0)
	w.c.Check(string(n.replies[0].GetSnapshotJson()), qt.Equals, string(encoded))
}
