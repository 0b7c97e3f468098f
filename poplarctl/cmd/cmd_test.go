package cmd_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/defect"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/status"
	"poplarhook.example/lib/zone"
	"poplarhook.example/poplarctl/cmd"
	"poplarhook.example/poplarctl/services/submitter"
)

const shopDocument = `team: shop
classes:
  - {name: lookups, methods: [GET], path_prefix: /stock, service: stock, execution: idempotent,
     latency_target_ms: 50, deadline_ms: 500, spill: never, urgency: high}
`

// fakeAdmin is an entry host at revision 4. It accepts each change once, by its change id, and can drop the connection
// instead of replying or refuse changes.
type fakeAdmin struct {
	t             *testing.T
	mu            sync.Mutex
	repliesToLose int
	refusal       *problem.Problem
	accepted      map[string]index.Change
	bases         []string
}

func (f *fakeAdmin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Check(f.t, r.Header.Get("Authorization"), qt.Equals, "Bearer secret-token")
	switch r.URL.Path {
	case "/v1/config":
		doc, err := parser.New().Parse([]byte(shopDocument))
		qt.Check(f.t, err, qt.IsNil)
		snap := snapshot.Snapshot{Revision: 4, Documents: []document.Document{doc}, ZonesOut: []string{"fuerth"}}
		if r.URL.Query().Get("revision") == "3" {
			doc.Classes[0].DeadlineMS = 400
			snap = snapshot.Snapshot{Revision: 3, Documents: []document.Document{doc}}
		}
		f.answer(w, snap)
	case "/v1/status":
		f.answer(w, status.Status{
			HostID: "entry-1", Revision: 5,
			Hosts: []status.Host{{ID: "entry-1", State: status.HostLive, Revision: 5, Defects: []defect.Defect{
				defect.New(defect.KindClass, "orders", "kind", "odd", "safe or unsafe"),
			}}},
			Endpoints: []status.Endpoint{{ID: "stock-1", State: status.EndpointCold, Reason: "restarted"}, {ID: "stock-2", State: status.EndpointWarm}},
		})
	case "/v1/zones":
		f.answer(w, []zone.Zone{{Name: "fuerth", Region: "franken", Out: true}})
	case "/v1/changes":
		f.answer(w, []index.Change{{Revision: 4, ChangeID: "change-0004", Author: "shop", Summary: "document of shop"}})
	case "/debug/state":
		f.answer(w, map[string]int{"open_links": 3})
	default:
		f.write(w, r)
	}
}

func (f *fakeAdmin) write(w http.ResponseWriter, r *http.Request) {
	if f.refusal != nil {
		f.refusal.Write(w)
		return
	}
	id := r.URL.Query().Get("change_id")
	f.bases = append(f.bases, r.Header.Get("If-Match"))
	if _, known := f.accepted[id]; !known {
		f.accepted[id] = index.Change{Revision: int64(5 + len(f.accepted)), ChangeID: id, Summary: r.Method + " " + r.URL.Path}
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		panic(http.ErrAbortHandler)
	}
	f.answer(w, f.accepted[id])
}

func (f *fakeAdmin) answer(w http.ResponseWriter, value any) {
	qt.Check(f.t, json.NewEncoder(w).Encode(value), qt.IsNil)
}

func (f *fakeAdmin) loseNext(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesToLose = count
}

func startFakeAdmin(t *testing.T) *fakeAdmin {
	f := &fakeAdmin{t: t, accepted: map[string]index.Change{}}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	t.Setenv("POPLARCTL_ADMIN", server.URL)
	t.Setenv("POPLARCTL_TOKEN", "secret-token")
	return f
}

func execute(t *testing.T, arguments ...string) (string, error) {
	var out bytes.Buffer
	err := cmd.Execute(t.Context(), arguments, strings.NewReader(shopDocument), &out, time.Now)
	if err != nil {
		qt.Check(t, strings.Contains(err.Error(), "secret"), qt.IsFalse)
	}
	return out.String(), err
}

func TestTables(t *testing.T) {
	startFakeAdmin(t)
	file := filepath.Join(t.TempDir(), "shop.yaml")
	qt.Assert(t, os.WriteFile(file, []byte(strings.ReplaceAll(shopDocument, "500", "900")), 0o600), qt.IsNil)
	for _, test := range []struct {
		arguments string
		want      string
	}{
		{"config check -", "valid: document of shop with 1 classes\n"},
		{"config show", `(?s)revision 4 .*, zones out: fuerth\nTEAM +CLASS .*\nshop +lookups +stock +any +GET +/stock +idempotent +50 +500 +any +never +high\n`},
		{"config show --team office", "revision 4 .*, zones out: fuerth\n"},
		{"config show --yaml", `(?s)team: shop\nclasses:\n.*deadline_ms: 500\n.*`},
		{"config diff -", "0 differences from revision 4 for team shop\n"},
		{"config diff " + file, `(?s)1 differences .*\nlookups +deadline_ms +500 +900\n`},
		{"config diff --from 3", `(?s)1 differences from revision 3 to 4\nCLASS +FIELD +FROM +TO\nlookups +deadline_ms +400 +500\n`},
		{"config diff --from 4 --to 3", `(?s)1 differences from revision 4 to 3\n.*lookups +deadline_ms +500 +400\n`},
		{"config history", `(?s)REVISION.*\n4 +0001-01-01T00:00:00Z +shop +change-0004 +document of shop\n`},
		{"zone list", `(?s)ZONE .*\nfuerth +franken +out\n`},
		{"status", `(?s)entry-1 runs revision 5; endpoints: 1 warm, 1 cold, .*\nentry-1 +- +- +live +5 +-\nUNREADABLE_ENTRY.*\nclass orders +kind +odd +safe or unsafe +entry-1\nENDPOINT.*\nstock-1 +- +- +- +cold +restarted\n`},
		{"dump", "{\n  \"open_links\": 3\n}\n"},
		{"zone list --json", `(?s)\[\n  \{\n    "name": "fuerth",.*`},
	} {
		out, err := execute(t, strings.Fields(test.arguments)...)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", test.arguments))
		qt.Check(t, out, qt.Matches, test.want, qt.Commentf("%s", test.arguments))
	}
}

func TestLostReplyIsRetriedUntilOutcomeIsKnown(t *testing.T) {
	for _, arguments := range []string{"config apply - --wait", "zone out fuerth", "zone in fuerth --wait --change-id change-0001"} {
		f := startFakeAdmin(t)
		f.loseNext(2)
		out, err := execute(t, strings.Fields(arguments+" --json")...)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", arguments))
		qt.Assert(t, f.accepted, qt.HasLen, 1)
		var result struct {
			Revision   int64 `json:"revision"`
			Everywhere bool  `json:"everywhere"`
		}
		qt.Assert(t, json.Unmarshal([]byte(out), &result), qt.IsNil, qt.Commentf("%s", out))
		qt.Assert(t, result.Revision, qt.Equals, int64(5))
		qt.Assert(t, result.Everywhere, qt.Equals, strings.Contains(arguments, "--wait"))
		if strings.HasPrefix(arguments, "config") {
			qt.Assert(t, f.bases, qt.DeepEquals, []string{`"4"`, `"4"`, `"4"`})
		}
	}
}

func TestExitCodes(t *testing.T) {
	f := startFakeAdmin(t)
	for _, test := range []struct {
		arguments string
		problem   string
		want      int
	}{
		{"config apply /no/such/file", "", cmd.ExitUsage},
		{"config apply - --change-id change-0001", "", cmd.ExitUsage},
		{"status --timeout 0s", "", cmd.ExitUsage},
		{"status --timeout soon", "", cmd.ExitUsage},
		{"config", "", cmd.ExitUsage},
		{"status --admin 127.0.0.1:8082", "", cmd.ExitUsage},
		{"status --=", "", cmd.ExitUsage},
		{"config check - -- more", "", cmd.ExitUsage},
		{"dump --host entry-9", "", cmd.ExitUsage},
		{"config apply -", problem.CodeConflict, cmd.ExitRefused},
		{"config check - --live", problem.CodeInvalid, cmd.ExitRefused},
		{"zone out furth", problem.CodeInvalid, cmd.ExitRefused},
		{"config history --change-id change-0009", problem.CodeNotFound, cmd.ExitRefused},
		{"zone out fuerth --timeout 50ms", problem.CodeUnknownOutcome, cmd.ExitUnknown},
		{"zone out fuerth --timeout 50ms", problem.CodeUnavailable, cmd.ExitRefused},
	} {
		f.refusal = nil
		if test.problem != "" {
			refusal := problem.New(http.StatusTeapot, test.problem, "detail")
			f.refusal = &refusal
		}
		_, err := execute(t, strings.Fields(test.arguments)...)
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", test.arguments))
		qt.Check(t, cmd.ExitCode(err), qt.Equals, test.want, qt.Commentf("%s: %v", test.arguments, err))
	}
	f.refusal = nil
	f.loseNext(1000)
	_, err := execute(t, "zone", "out", "fuerth", "--timeout", "50ms", "--change-id", "change-0001")
	qt.Assert(t, err, qt.ErrorIs, submitter.ErrUnknownOutcome)
	qt.Assert(t, err, qt.ErrorMatches, "change change-0001: .*")
	f.loseNext(0)
	_, err = execute(t, "zone", "out", "fuerth", "--wait", "--timeout", "300ms", "--change-id", "change-0002")
	qt.Assert(t, cmd.ExitCode(err), qt.Equals, cmd.ExitWaiting, qt.Commentf("%v", err))
}

func TestConfigDiffRejectsInvalidRevisions(t *testing.T) {
	startFakeAdmin(t)
	for arguments, want := range map[string]string{
		"config diff":                 ".*a FILE or --from is required.*",
		"config diff --to 3":          ".*--from must be a revision above 0.*",
		"config diff --from -1":       ".*--from must be a revision above 0.*",
		"config diff --from 3 -":      ".*without a FILE.*",
		"config diff --from 2":        "the entry host keeps only revision 4, the current one",
		"config diff --from 3 --to 1": "the entry host keeps only revision 4, the current one",
	} {
		_, err := execute(t, strings.Fields(arguments)...)
		qt.Check(t, err, qt.ErrorMatches, want, qt.Commentf("%s", arguments))
	}
}
