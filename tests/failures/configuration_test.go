package failures_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/storer"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// propagationTarget is the time after acceptance within which every host must run a configuration.
const propagationTarget = 2 * time.Second

// configurationState is the part of a state dump that shows which configuration the host and its peers run.
type configurationState struct {
	Snapshot struct {
		Revision int64    `json:"revision"`
		ZonesOut []string `json:"zones_out"`
	} `json:"snapshot"`
	Members []struct {
		ID       string `json:"host_id"`
		Revision int64  `json:"revision"`
	} `json:"members"`
}

func revisionOf(t *testing.T, running *fleet.Fleet, id string) int64 {
	t.Helper()
	var dumped configurationState
	if running.State(t.Context(), id, &dumped) != nil {
		return 0
	}
	return dumped.Snapshot.Revision
}

// awaitRevision waits until every host runs at least the revision and returns how long that took.
func awaitRevision(t *testing.T, running *fleet.Fleet, revision int64) time.Duration {
	t.Helper()
	from := time.Now()
	for _, entry := range running.Entries() {
		awaitWithin(t, reactionTime, "the revision at "+entry.ID, func() bool { return revisionOf(t, running, entry.ID) >= revision })
	}
	return time.Since(from)
}

// An accepted change stays current while the store returns an older index and a peer sends an older configuration.
// Hosts that start while the store is down receive the change from their peers.
func TestConfigurationNeverReverts(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(5), fleet.WithEntryArguments("--watch-wait", "500ms"))
	l := startLoad(t, running, 200, running.EntryAddresses()[2:], zoneMix()...)
	l.awaitServed(t, 200)
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-b"), qt.IsNil)
	awaitRevision(t, running, 2)
	older := readDumpedSnapshot(t, running, running.Entries()[0].ID)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	accepted := time.Now()
	took := awaitRevision(t, running, 3)
	qt.Check(t, took <= propagationTarget, qt.IsTrue, qt.Commentf("current on every host after %v", took))

	startOutdatedPeer(t, running, 2, older)
	makeStoreStale(t, running)
	restarted := running.Entries()[:2]
	for _, entry := range restarted {
		qt.Assert(t, running.Kill(entry.ID), qt.IsNil)
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		checkRevisionUntilReady(t, running, entry.ID)
	}
	checkRevisionFor(t, running, serviceWindow)

	setPlatformFaults(t, running, platformFaults{Stale: new(false), Down: new(true)})
	for _, entry := range restarted {
		qt.Assert(t, running.Kill(entry.ID), qt.IsNil)
		from := time.Now()
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		checkRevisionUntilReady(t, running, entry.ID)
		t.Logf("ready with the configuration of its peers after %v", time.Since(from))
	}
	checkRevisionFor(t, running, serviceWindow)
	l.awaitServed(t, 200)
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.countExecutions(endpointIDsInZones(running, "pohja-b", "louna-b"), accepted.Add(reactionTime), time.Now()), qt.Equals, 0)
}

// A starting host applies no older revision, neither from an outdated peer nor from a stale store. It waits for the
// peers that reported a newer revision, even though these are frozen.
func TestStartingHostAppliesNoOlderConfiguration(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(4), fleet.WithEntryArguments("--watch-wait", "500ms"))
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-b"), qt.IsNil)
	awaitRevision(t, running, 2)
	older := readDumpedSnapshot(t, running, running.Entries()[0].ID)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	awaitRevision(t, running, 3)
	startOutdatedPeer(t, running, 2, older)
	makeStoreStale(t, running)

	starting, peers := running.Entries()[0], running.Entries()[1:]
	qt.Assert(t, running.Kill(starting.ID), qt.IsNil)
	// The timeout is longer than the default, so that the peers are frozen before it expires.
	const peerTimeout = 2 * time.Second
	from := time.Now()
	qt.Assert(t, running.StartEntry(t.Context(), starting, "--heartbeat-timeout", peerTimeout.String()), qt.IsNil)
	starting = running.Entries()[0]
	awaitCondition(t, "revision 3 from every peer", func() bool {
		checkNotOlder(t, running, starting.AdminAddress, from)
		return len(membersAtRevision(t, running, starting.AdminAddress, 3)) == len(peers)
	})
	for _, peer := range peers {
		qt.Assert(t, running.Freeze(peer.ID), qt.IsNil)
	}
	for time.Since(from) < peerTimeout+serviceWindow {
		checkNotOlder(t, running, starting.AdminAddress, from)
	}
	qt.Check(t, membersAtRevision(t, running, starting.AdminAddress, 2), qt.DeepEquals, []string{outdatedPeerID})
	for _, peer := range peers {
		qt.Assert(t, running.Thaw(peer.ID), qt.IsNil)
	}
	checkRevisionUntilReady(t, running, starting.ID)
	awaitRevision(t, running, 3)
	checkRevisionFor(t, running, serviceWindow)
}

// checkNotOlder checks that a host that was started at the given time runs no configuration or the accepted revision.
func checkNotOlder(t *testing.T, running *fleet.Fleet, admin string, from time.Time) {
	t.Helper()
	revision := readDumpedRevision(t, running, admin)
	qt.Assert(t, revision == 0 || revision == 3, qt.IsTrue, qt.Commentf("revision %d after %v", revision, time.Since(from)))
}

// membersAtRevision returns the peers that run a revision, in the view of a host.
func membersAtRevision(t *testing.T, running *fleet.Fleet, admin string, revision int64) []string {
	t.Helper()
	var ids []string
	for _, m := range readDumpedState(t, running, admin).Members {
		if m.Revision == revision {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// makeStoreStale makes the store return an older index and the documents that this index names. A stale store returns
// each object as it was before its last write, so every document is written a second time first.
func makeStoreStale(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	store := storer.New(running.PlatformURL())
	defer store.Close()
	documents, err := store.List(t.Context(), "config/documents/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, documents, qt.Not(qt.HasLen), 0)
	for _, listed := range documents {
		found, err := store.Get(t.Context(), listed.Key)
		qt.Assert(t, err, qt.IsNil)
		_, err = store.Put(t.Context(), listed.Key, found.Value)
		qt.Assert(t, err, qt.IsNil)
	}
	setPlatformFaults(t, running, platformFaults{Stale: new(true)})
	stale, err := store.Get(t.Context(), index.Key)
	qt.Assert(t, err, qt.IsNil)
	older, err := assembler.Decode(stale)
	qt.Assert(t, err, qt.IsNil)
	_, err = assembler.New(store).Assemble(t.Context(), older)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, older.Revision, qt.Equals, int64(2))
}

// checkRevisionUntilReady waits until a host that has just started is ready, and checks that it never runs another
// revision than the accepted one.
func checkRevisionUntilReady(t *testing.T, running *fleet.Fleet, id string) {
	t.Helper()
	for _, entry := range running.Entries() {
		if entry.ID != id {
			continue
		}
		awaitCondition(t, id+" to be ready", func() bool {
			if revision := readDumpedRevision(t, running, entry.AdminAddress); revision != 0 {
				qt.Assert(t, revision, qt.Equals, int64(3), qt.Commentf("%s after its start", id))
			}
			_, err := running.Get(t.Context(), "http://"+entry.AdminAddress+"/readyz")
			return err == nil
		})
	}
}

func readDumpedRevision(t *testing.T, running *fleet.Fleet, admin string) int64 {
	t.Helper()
	return readDumpedState(t, running, admin).Snapshot.Revision
}

// readDumpedState reads the state dump from the host directly, which takes less time than running poplarctl.
func readDumpedState(t *testing.T, running *fleet.Fleet, admin string) configurationState {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+admin+"/debug/state", nil)
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+running.Token(fleet.Operators))
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var dumped configurationState
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&dumped), qt.IsNil)
	return dumped
}

// checkRevisionFor checks for a time that every host runs exactly the accepted revision.
func checkRevisionFor(t *testing.T, running *fleet.Fleet, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, entry := range running.Entries() {
			qt.Assert(t, revisionOf(t, running, entry.ID), qt.Equals, int64(3), qt.Commentf("%s", entry.ID))
		}
	}
}

// When several operators change the same revision at once, one succeeds and the others are refused.
func TestOneOfConcurrentOperatorsWins(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 2}), fleet.WithEntries(3))
	setPlatformFaults(t, running, platformFaults{LoseReplies: 1, DelayMS: new(20)})
	const operators = 4
	results := make(chan error, operators)
	for i := range operators {
		path := writeDocument(t, running, time.Duration(i+1)*time.Second)
		go func() {
			_, err := running.Ctl(t.Context(), "kite", "config", "apply", path, "--base", "1")
			results <- err
		}()
	}
	var refusals []string
	for range operators {
		if err := <-results; err != nil {
			refusals = append(refusals, err.Error())
		}
	}
	qt.Check(t, refusals, qt.HasLen, operators-1)
	for _, refused := range refusals {
		qt.Check(t, strings.Contains(refused, "exit status 1"), qt.IsTrue, qt.Commentf("%s", refused))
	}
	awaitRevision(t, running, 2)
	for _, entry := range running.Entries() {
		qt.Check(t, revisionOf(t, running, entry.ID), qt.Equals, int64(2))
	}
}

// writeDocument writes the fleet's document with the given deadline to a file and returns its path.
func writeDocument(t *testing.T, running *fleet.Fleet, deadline time.Duration) string {
	t.Helper()
	from := running.Deployment().Document
	doc := document.Document{Team: from.Team, Classes: append([]class.Class(nil), from.Classes...)}
	doc.Classes[0].DeadlineMS = deadline.Milliseconds()
	text, err := json.Marshal(doc)
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "document.json")
	qt.Assert(t, os.WriteFile(path, text, 0o600), qt.IsNil)
	return path
}
