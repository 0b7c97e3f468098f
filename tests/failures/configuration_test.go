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

// configurationAim is how soon after acceptance every host is meant to run a configuration.
const configurationAim = 2 * time.Second

// runs is the part of a state dump that tells which configuration a host runs.
type runs struct {
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
	var dumped runs
	if running.State(t.Context(), id, &dumped) != nil {
		return 0
	}
	return dumped.Snapshot.Revision
}

// awaitRevision waits until every host runs a revision and returns how long that took.
func awaitRevision(t *testing.T, running *fleet.Fleet, revision int64) time.Duration {
	t.Helper()
	from := time.Now()
	for _, entry := range running.Entries() {
		awaitWithin(t, few, "the revision at "+entry.ID, func() bool { return revisionOf(t, running, entry.ID) >= revision })
	}
	return time.Since(from)
}

// An accepted change stays in force while the store shows an older index and a peer sends an older configuration,
// and hosts that start while the store is out learn it from their peers.
func TestConfigurationNeverReverts(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(5), fleet.WithEntryArguments("--watch-wait", "500ms"))
	l := offer(t, running, 200, running.EntryAddresses()[2:], zoneMix()...)
	l.awaitServed(t, 200)
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-b"), qt.IsNil)
	awaitRevision(t, running, 2)
	older := dumpedSnapshot(t, running, running.Entries()[0].ID)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	accepted := time.Now()
	took := awaitRevision(t, running, 3)
	qt.Check(t, took <= configurationAim, qt.IsTrue, qt.Commentf("in force everywhere after %v", took))

	startLaggard(t, running, 2, older)
	showStale(t, running)
	restarted := running.Entries()[:2]
	for _, entry := range restarted {
		qt.Assert(t, running.Kill(entry.ID), qt.IsNil)
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		checkStart(t, running, entry.ID)
	}
	checkRevisionFor(t, running, window)

	controlPlatform(t, running, platformFaults{Stale: new(false), Down: new(true)})
	for _, entry := range restarted {
		qt.Assert(t, running.Kill(entry.ID), qt.IsNil)
		from := time.Now()
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		checkStart(t, running, entry.ID)
		t.Logf("ready from peers alone after %v", time.Since(from))
	}
	checkRevisionFor(t, running, window)
	l.awaitServed(t, 200)
	f := l.end(t)
	f.assertTrue(t)
	qt.Check(t, f.startedAt(idsInZone(running, "pohja-b", "louna-b"), accepted.Add(few), time.Now()), qt.Equals, 0)
}

// A host that starts beside a peer that runs less, with a store that shows less, takes neither: it waits for the
// peers that it has heard running more, though these are frozen.
func TestStartingHostTakesNothingOlderThanItHasHeard(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(4), fleet.WithEntryArguments("--watch-wait", "500ms"))
	qt.Assert(t, running.ZoneOut(t.Context(), "louna-b"), qt.IsNil)
	awaitRevision(t, running, 2)
	older := dumpedSnapshot(t, running, running.Entries()[0].ID)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	awaitRevision(t, running, 3)
	startLaggard(t, running, 2, older)
	showStale(t, running)

	starting, peers := running.Entries()[0], running.Entries()[1:]
	qt.Assert(t, running.Kill(starting.ID), qt.IsNil)
	// The wait for peers is longer than by default, so that they are frozen before it ends.
	const wait = 2 * time.Second
	from := time.Now()
	qt.Assert(t, running.StartEntry(t.Context(), starting, "--heartbeat-timeout", wait.String()), qt.IsNil)
	starting = running.Entries()[0]
	await(t, "every peer to be heard", func() bool {
		checkNotOlder(t, running, starting.AdminAddress, from)
		return len(heardAt(t, running, starting.AdminAddress, 3)) == len(peers)
	})
	for _, peer := range peers {
		qt.Assert(t, running.Freeze(peer.ID), qt.IsNil)
	}
	for time.Since(from) < wait+window {
		checkNotOlder(t, running, starting.AdminAddress, from)
	}
	qt.Check(t, heardAt(t, running, starting.AdminAddress, 2), qt.DeepEquals, []string{laggardID})
	for _, peer := range peers {
		qt.Assert(t, running.Thaw(peer.ID), qt.IsNil)
	}
	checkStart(t, running, starting.ID)
	awaitRevision(t, running, 3)
	checkRevisionFor(t, running, window)
}

// checkNotOlder checks that a host that started at a time runs nothing or the accepted revision.
func checkNotOlder(t *testing.T, running *fleet.Fleet, admin string, from time.Time) {
	t.Helper()
	revision := dumpedRevision(t, running, admin)
	qt.Assert(t, revision == 0 || revision == 3, qt.IsTrue, qt.Commentf("revision %d after %v", revision, time.Since(from)))
}

// heardAt returns the other hosts that a host has heard running a revision.
func heardAt(t *testing.T, running *fleet.Fleet, admin string, revision int64) []string {
	t.Helper()
	var ids []string
	for _, m := range dumpedState(t, running, admin).Members {
		if m.Revision == revision {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// showStale makes the store show an older index with the documents that it names: these are written a second time,
// as the store shows each object as it was before its last write.
func showStale(t *testing.T, running *fleet.Fleet) {
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
	controlPlatform(t, running, platformFaults{Stale: new(true)})
	shown, err := store.Get(t.Context(), index.Key)
	qt.Assert(t, err, qt.IsNil)
	older, err := assembler.Decode(shown)
	qt.Assert(t, err, qt.IsNil)
	_, err = assembler.New(store).Assemble(t.Context(), older)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, older.Revision, qt.Equals, int64(2))
}

// checkStart waits until a host that has just started is ready and checks that it never ran less than the others.
func checkStart(t *testing.T, running *fleet.Fleet, id string) {
	t.Helper()
	for _, entry := range running.Entries() {
		if entry.ID != id {
			continue
		}
		await(t, id+" to be ready", func() bool {
			if revision := dumpedRevision(t, running, entry.AdminAddress); revision != 0 {
				qt.Assert(t, revision, qt.Equals, int64(3), qt.Commentf("%s after its start", id))
			}
			_, err := running.Get(t.Context(), "http://"+entry.AdminAddress+"/readyz")
			return err == nil
		})
	}
}

func dumpedRevision(t *testing.T, running *fleet.Fleet, admin string) int64 {
	t.Helper()
	return dumpedState(t, running, admin).Snapshot.Revision
}

// dumpedState asks a host itself, which takes less time than poplarctl.
func dumpedState(t *testing.T, running *fleet.Fleet, admin string) runs {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+admin+"/debug/state", nil)
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+running.Token(fleet.Operators))
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var dumped runs
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&dumped), qt.IsNil)
	return dumped
}

// checkRevisionFor checks for some time that no host that is ready runs less than the accepted revision.
func checkRevisionFor(t *testing.T, running *fleet.Fleet, stretch time.Duration) {
	t.Helper()
	for end := time.Now().Add(stretch); time.Now().Before(end); {
		for _, entry := range running.Entries() {
			qt.Assert(t, revisionOf(t, running, entry.ID), qt.Equals, int64(3), qt.Commentf("%s", entry.ID))
		}
	}
}

// Of two operators who change the same revision at once through different hosts one wins, and the other is told.
func TestOfRacingOperatorsOneWins(t *testing.T) {
	running := start(t, pohja(deployment.Service{Name: "allocation", Servers: 2}), fleet.WithEntries(3))
	controlPlatform(t, running, platformFaults{LoseReplies: 1, DelayMS: new(20)})
	const racers = 4
	ends := make(chan error, racers)
	for i := range racers {
		path := writeDocument(t, running, time.Duration(i+1)*time.Second)
		go func() {
			_, err := running.Ctl(t.Context(), "kite", "config", "apply", path, "--base", "1")
			ends <- err
		}()
	}
	var refusals []string
	for range racers {
		if err := <-ends; err != nil {
			refusals = append(refusals, err.Error())
		}
	}
	qt.Check(t, refusals, qt.HasLen, racers-1)
	for _, refused := range refusals {
		qt.Check(t, strings.Contains(refused, "exit status 1"), qt.IsTrue, qt.Commentf("%s", refused))
	}
	awaitRevision(t, running, 2)
	for _, entry := range running.Entries() {
		qt.Check(t, revisionOf(t, running, entry.ID), qt.Equals, int64(2))
	}
}

// writeDocument writes the fleet's document with another deadline and returns its path.
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
