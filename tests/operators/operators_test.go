package operators_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/validator"
	"poplarhook.example/poplarctl/cmd"
	"poplarhook.example/poplarhook/modules/authorizer"
	"poplarhook.example/poplarhook/routers/administrator"
	"poplarhook.example/standin/storekeeper"
)

const (
	storeTimeout = 50 * time.Millisecond
	publishLimit = 200 * time.Millisecond
	tokens       = "operators:operators-token,brandstaetter:brandstaetter-token,kite:kite-token"
)

// world is a store with the administration API of two entry hosts in front of it.
type world struct {
	*testing.T
	store  *storekeeper.Storekeeper
	admins []string
}

func newWorld(t *testing.T) *world {
	w := &world{T: t, store: storekeeper.New()}
	platform := httptest.NewServer(w.store)
	t.Cleanup(platform.Close)
	t.Cleanup(w.store.Close)
	auth, err := authorizer.New(tokens)
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		client := storer.New(platform.URL, storer.WithTimeout(storeTimeout))
		t.Cleanup(client.Close)
		p := publisher.New(client, validator.New())
		entry := httptest.NewServer(administrator.New(p, auth, administrator.WithPublishTimeout(publishLimit)))
		t.Cleanup(entry.Close)
		w.admins = append(w.admins, entry.URL)
	}
	return w
}

// as runs poplarctl with a team's token at the entry hosts, the one of the number first.
func (w *world) as(team string, first int, arguments string) (string, int) {
	list := append(strings.Fields(arguments), "--json")
	for i := range w.admins {
		list = append(list, "--admin", w.admins[(first+i)%len(w.admins)])
	}
	var out bytes.Buffer
	w.Setenv("POPLARCTL_TOKEN", team+"-token")
	return w.execute(list, &out)
}

func (w *world) execute(arguments []string, out *bytes.Buffer) (string, int) {
	err := cmd.Execute(w.Context(), arguments, strings.NewReader(""), out, time.Now)
	if err != nil {
		return err.Error(), cmd.ExitCode(err)
	}
	return out.String(), 0
}

func (w *world) index() index.Index {
	var x index.Index
	found, ok := w.store.Get(index.Key)
	if ok {
		qt.Assert(w, json.Unmarshal(found.Value, &x), qt.IsNil)
	}
	return x
}

func (w *world) set(change func(*storekeeper.Settings)) {
	w.store.Change(change)
}

func TestLostRepliesEndWithATrueAnswer(t *testing.T) {
	w := newWorld(t)
	for i, test := range []struct{ team, arguments string }{
		{"brandstaetter", "config apply ../../samples/brandstaetter.yaml"},
		{"kite", "config apply ../../samples/kite.yaml"},
		{"operators", "zone out fuerth"},
		{"operators", "zone in fuerth"},
	} {
		w.set(func(s *storekeeper.Settings) { s.LoseReplies = 2 })
		out, code := w.as(test.team, i, test.arguments)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s: %s", test.arguments, out))
		var change index.Change
		qt.Assert(t, json.Unmarshal([]byte(out), &change), qt.IsNil)
		x := w.index()
		qt.Assert(t, x.Revision, qt.Equals, int64(i+1))
		qt.Assert(t, x.History[0].ChangeID, qt.Equals, change.ChangeID)
		qt.Assert(t, x.History[0].Author, qt.Equals, test.team)
	}
	qt.Assert(t, w.index().Documents, qt.HasLen, 2)
}

func TestOutageChangesNothingAndSaysSo(t *testing.T) {
	w := newWorld(t)
	w.set(func(s *storekeeper.Settings) { s.Down = true })
	out, code := w.as("operators", 0, "zone out fuerth --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused)
	qt.Assert(t, out, qt.Matches, "change .*: not accepted")
	out, code = w.as("kite", 0, "config apply ../../samples/kite.yaml --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused)
	qt.Assert(t, out, qt.Matches, "not accepted, as the revision in force could not be read: .*")
	w.set(func(s *storekeeper.Settings) { s.Down = false })
	qt.Assert(t, w.index().Revision, qt.Equals, int64(0))
}

// TestHangingStoreIsSaidToBeUnknown holds the writes back, so that they apply after the answer.
func TestHangingStoreIsSaidToBeUnknown(t *testing.T) {
	w := newWorld(t)
	w.set(func(s *storekeeper.Settings) { s.DelayMS = int(4 * storeTimeout.Milliseconds()) })
	arguments := "config apply ../../samples/kite.yaml --base 0 --change-id change-0001"
	out, code := w.as("kite", 0, arguments+" --timeout 1500ms")
	qt.Assert(t, code == cmd.ExitUnknown || code == cmd.ExitRefused, qt.IsTrue, qt.Commentf("%s", out))
	w.set(func(s *storekeeper.Settings) { s.DelayMS = 0 })
	out, code = w.as("kite", 1, arguments)
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	x := w.index()
	qt.Assert(t, x.History, qt.HasLen, 1)
	qt.Assert(t, x.History[0].ChangeID, qt.Equals, "change-0001")
}

func TestOutdatedReadsRevertNothing(t *testing.T) {
	w := newWorld(t)
	for _, zone := range []string{"fuerth", "bamberg"} {
		out, code := w.as("operators", 0, "zone out "+zone)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	}
	w.set(func(s *storekeeper.Settings) { s.Stale = true })
	out, code := w.as("operators", 1, "zone out kempten --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused, qt.Commentf("%s", out))
	qt.Assert(t, w.index().ZonesOut, qt.DeepEquals, []string{"bamberg", "fuerth"})
	w.set(func(s *storekeeper.Settings) { s.Stale = false })
	out, code = w.as("operators", 1, "zone out kempten")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	qt.Assert(t, w.index().ZonesOut, qt.DeepEquals, []string{"bamberg", "fuerth", "kempten"})
}

func TestOfRacingOperatorsOneWinsAndTheOthersAreTold(t *testing.T) {
	const racers = 4
	w := newWorld(t)
	t.Setenv("POPLARCTL_TOKEN", "kite-token")
	outs := make([]string, racers)
	codes := make([]int, racers)
	var running sync.WaitGroup
	for i := range racers {
		running.Go(func() {
			var out bytes.Buffer
			outs[i], codes[i] = w.execute([]string{
				"config", "apply", "../../samples/kite.yaml", "--base", "0", "--json", "--admin", w.admins[i%len(w.admins)],
			}, &out)
		})
	}
	running.Wait()
	x := w.index()
	qt.Assert(t, x.History, qt.HasLen, 1)
	slices.Sort(codes)
	qt.Assert(t, codes, qt.DeepEquals, []int{0, cmd.ExitRefused, cmd.ExitRefused, cmd.ExitRefused})
	for _, out := range outs {
		qt.Check(t, strings.Contains(out, x.ChangeID), qt.IsTrue, qt.Commentf("%s", out))
	}
}

// TestDocumentsBeyondTheHistoryAreRemoved loses replies at times, so that a removal is tried again by a later change.
func TestDocumentsBeyondTheHistoryAreRemoved(t *testing.T) {
	w := newWorld(t)
	const beyond, lostEvery = 20, 7
	id := func(i int) string { return fmt.Sprintf("change-%04d", i) }
	for i := range index.MaxHistory + beyond {
		if i%lostEvery == 0 {
			w.set(func(s *storekeeper.Settings) { s.LoseReplies = 1 })
		}
		out, code := w.as("kite", i, fmt.Sprintf("config apply ../../samples/kite.yaml --base %d --change-id %s", i, id(i)))
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	}
	for i := range index.MaxHistory + beyond {
		_, found := w.store.Get(index.DocumentKey(id(i), "kite"))
		// The last change looked at the index before its own.
		qt.Check(t, found, qt.Equals, i >= beyond-1, qt.Commentf("document of change %d", i))
	}
}
