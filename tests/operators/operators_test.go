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
	"poplarhook.example/standin/storeserver"
)

const (
	storeTimeout = 50 * time.Millisecond
	publishLimit = 200 * time.Millisecond
	tokens       = "operators:operators-token,brandstaetter:brandstaetter-token,kite:kite-token"
)

// environment is a store and the administration APIs of two entry hosts that use it.
type environment struct {
	*testing.T
	store  *storeserver.Server
	admins []string
}

func newEnvironment(t *testing.T) *environment {
	env := &environment{T: t, store: storeserver.New()}
	platform := httptest.NewServer(env.store)
	t.Cleanup(platform.Close)
	t.Cleanup(env.store.Close)
	auth, err := authorizer.New(tokens)
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		client := storer.New(platform.URL, storer.WithTimeout(storeTimeout))
		t.Cleanup(client.Close)
		p := publisher.New(client, validator.New())
		entry := httptest.NewServer(administrator.New(p, auth, administrator.WithPublishTimeout(publishLimit)))
		t.Cleanup(entry.Close)
		env.admins = append(env.admins, entry.URL)
	}
	return env
}

// runAs runs poplarctl with a team's token and returns its output and exit code. The entry host with the index first is
// the first that poplarctl tries.
func (env *environment) runAs(team string, first int, arguments string) (string, int) {
	list := append(strings.Fields(arguments), "--json")
	for i := range env.admins {
		list = append(list, "--admin", env.admins[(first+i)%len(env.admins)])
	}
	var out bytes.Buffer
	env.Setenv("POPLARCTL_TOKEN", team+"-token")
	return env.runPoplarctl(list, &out)
}

func (env *environment) runPoplarctl(arguments []string, out *bytes.Buffer) (string, int) {
	err := cmd.Execute(env.Context(), arguments, strings.NewReader(""), out, time.Now)
	if err != nil {
		return err.Error(), cmd.ExitCode(err)
	}
	return out.String(), 0
}

func (env *environment) storedIndex() index.Index {
	var x index.Index
	found, ok := env.store.Get(index.Key)
	if ok {
		qt.Assert(env, json.Unmarshal(found.Value, &x), qt.IsNil)
	}
	return x
}

func (env *environment) changeStore(change func(*storeserver.Settings)) {
	env.store.Change(change)
}

// A command succeeds with the applied change even though the store loses the replies to its writes.
func TestLostStoreRepliesGiveCorrectAnswer(t *testing.T) {
	env := newEnvironment(t)
	for i, test := range []struct{ team, arguments string }{
		{"brandstaetter", "config apply ../../samples/brandstaetter.yaml"},
		{"kite", "config apply ../../samples/kite.yaml"},
		{"operators", "zone out fuerth"},
		{"operators", "zone in fuerth"},
	} {
		env.changeStore(func(s *storeserver.Settings) { s.LoseReplies = 2 })
		out, code := env.runAs(test.team, i, test.arguments)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s: %s", test.arguments, out))
		var change index.Change
		qt.Assert(t, json.Unmarshal([]byte(out), &change), qt.IsNil)
		x := env.storedIndex()
		qt.Assert(t, x.Revision, qt.Equals, int64(i+1))
		qt.Assert(t, x.History[0].ChangeID, qt.Equals, change.ChangeID)
		qt.Assert(t, x.History[0].Author, qt.Equals, test.team)
	}
	qt.Assert(t, env.storedIndex().Documents, qt.HasLen, 2)
}

// Commands during a store outage are reported as not accepted, and they change nothing.
func TestStoreOutageRefusesChanges(t *testing.T) {
	env := newEnvironment(t)
	env.changeStore(func(s *storeserver.Settings) { s.Down = true })
	out, code := env.runAs("operators", 0, "zone out fuerth --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused)
	qt.Assert(t, out, qt.Matches, "change .*: not accepted")
	out, code = env.runAs("kite", 0, "config apply ../../samples/kite.yaml --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused)
	qt.Assert(t, out, qt.Matches, "not accepted, as the revision in force could not be read: .*")
	env.changeStore(func(s *storeserver.Settings) { s.Down = false })
	qt.Assert(t, env.storedIndex().Revision, qt.Equals, int64(0))
}

// Each call to the store takes longer than its timeout, so that a write may be applied after the command was answered.
// The same command with the same change ID then succeeds, and the change is applied once.
func TestChangeCanBeRepeatedAfterStoreTimeout(t *testing.T) {
	env := newEnvironment(t)
	env.changeStore(func(s *storeserver.Settings) { s.DelayMS = int(4 * storeTimeout.Milliseconds()) })
	arguments := "config apply ../../samples/kite.yaml --base 0 --change-id change-0001"
	out, code := env.runAs("kite", 0, arguments+" --timeout 1500ms")
	qt.Assert(t, code == cmd.ExitUnknown || code == cmd.ExitRefused, qt.IsTrue, qt.Commentf("%s", out))
	env.changeStore(func(s *storeserver.Settings) { s.DelayMS = 0 })
	out, code = env.runAs("kite", 1, arguments)
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	x := env.storedIndex()
	qt.Assert(t, x.History, qt.HasLen, 1)
	qt.Assert(t, x.History[0].ChangeID, qt.Equals, "change-0001")
}

// A change based on a stale read is refused, so that it does not revert an earlier change.
func TestStaleReadsRevertNoChange(t *testing.T) {
	env := newEnvironment(t)
	for _, zone := range []string{"fuerth", "bamberg"} {
		out, code := env.runAs("operators", 0, "zone out "+zone)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	}
	env.changeStore(func(s *storeserver.Settings) { s.Stale = true })
	out, code := env.runAs("operators", 1, "zone out kempten --timeout 1500ms")
	qt.Assert(t, code, qt.Equals, cmd.ExitRefused, qt.Commentf("%s", out))
	qt.Assert(t, env.storedIndex().ZonesOut, qt.DeepEquals, []string{"bamberg", "fuerth"})
	env.changeStore(func(s *storeserver.Settings) { s.Stale = false })
	out, code = env.runAs("operators", 1, "zone out kempten")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	qt.Assert(t, env.storedIndex().ZonesOut, qt.DeepEquals, []string{"bamberg", "fuerth", "kempten"})
}

// Of several operators who apply a document to the same revision at once, one succeeds. The others are refused, and
// their errors name the accepted change.
func TestOneOfConcurrentOperatorsWinsAndOthersAreRefused(t *testing.T) {
	const operators = 4
	env := newEnvironment(t)
	t.Setenv("POPLARCTL_TOKEN", "kite-token")
	outs := make([]string, operators)
	codes := make([]int, operators)
	var running sync.WaitGroup
	for i := range operators {
		running.Go(func() {
			var out bytes.Buffer
			outs[i], codes[i] = env.runPoplarctl([]string{
				"config", "apply", "../../samples/kite.yaml", "--base", "0", "--json", "--admin", env.admins[i%len(env.admins)],
			}, &out)
		})
	}
	running.Wait()
	x := env.storedIndex()
	qt.Assert(t, x.History, qt.HasLen, 1)
	slices.Sort(codes)
	qt.Assert(t, codes, qt.DeepEquals, []int{0, cmd.ExitRefused, cmd.ExitRefused, cmd.ExitRefused})
	for _, out := range outs {
		qt.Check(t, strings.Contains(out, x.ChangeID), qt.IsTrue, qt.Commentf("%s", out))
	}
}

// Documents of changes that are no longer in the history are removed. The store loses some replies, so that a later
// change has to retry the removal.
func TestDocumentsBeyondTheHistoryAreRemoved(t *testing.T) {
	env := newEnvironment(t)
	const beyond, lostEvery = 20, 7
	id := func(i int) string { return fmt.Sprintf("change-%04d", i) }
	for i := range index.MaxHistory + beyond {
		if i%lostEvery == 0 {
			env.changeStore(func(s *storeserver.Settings) { s.LoseReplies = 1 })
		}
		out, code := env.runAs("kite", i, fmt.Sprintf("config apply ../../samples/kite.yaml --base %d --change-id %s", i, id(i)))
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", out))
	}
	for i := range index.MaxHistory + beyond {
		_, found := env.store.Get(index.DocumentKey(id(i), "kite"))
		// The last change removed documents according to the index before its own.
		qt.Check(t, found, qt.Equals, i >= beyond-1, qt.Commentf("document of change %d", i))
	}
}
