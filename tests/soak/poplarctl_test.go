package soak

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/status"
)

// poplarctl runs the operators' command against the first gateway and returns what it writes.
func (w *world) poplarctl(arguments ...string) []byte {
	w.t.Helper()
	admin := "http://" + w.entries[0].settings.AdminAddress()
	command := exec.CommandContext(w.ctx, "../../bin/poplarctl", append(arguments, "--json", "--admin", admin)...)
	out, err := command.Output()
	qt.Assert(w.t, err, qt.IsNil, qt.Commentf("poplarctl %v", arguments))
	return out
}

func TestOperatorsSeeWhatEachHostRuns(t *testing.T) {
	w := newWorld(t)
	before := w.version
	w.configure()
	var seen status.Status
	awaiter.New(50*time.Millisecond).Await(t, bound, "every host runs the newest version", func() bool {
		seen = status.Status{}
		qt.Assert(t, json.Unmarshal(w.poplarctl("status"), &seen), qt.IsNil)
		return len(seen.Hosts) == len(w.entries) && seen.Runs(w.version)
	})
	qt.Assert(t, len(seen.Endpoints), qt.Equals, len(w.endpoints))
	var compared struct {
		From        int64             `json:"from"`
		To          int64             `json:"to"`
		Differences []json.RawMessage `json:"differences"`
	}
	qt.Assert(t, json.Unmarshal(w.poplarctl("config", "diff", "--from", fmt.Sprint(before)), &compared), qt.IsNil)
	qt.Assert(t, compared.From, qt.Equals, before)
	qt.Assert(t, compared.To, qt.Equals, w.version)
	// The path of the class that names the version.
	qt.Assert(t, compared.Differences, qt.HasLen, 1)
	var dump struct {
		HostID string `json:"host_id"`
	}
	other := w.entries[len(w.entries)-1].settings.HostID
	qt.Assert(t, json.Unmarshal(w.poplarctl("dump", "--host", other), &dump), qt.IsNil)
	qt.Assert(t, dump.HostID, qt.Equals, other)
}
