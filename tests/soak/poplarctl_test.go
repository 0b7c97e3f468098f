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

// poplarctl runs the program poplarctl against the first entry host and returns its output.
func (env *environment) poplarctl(arguments ...string) []byte {
	env.t.Helper()
	admin := "http://" + env.entries[0].settings.AdminAddress()
	command := exec.CommandContext(env.ctx, "../../bin/poplarctl", append(arguments, "--json", "--admin", admin)...)
	out, err := command.Output()
	qt.Assert(env.t, err, qt.IsNil, qt.Commentf("poplarctl %v", arguments))
	return out
}

// poplarctl shows the version that every entry host runs, the difference between two versions and the state dump of an
// entry host.
func TestPoplarctlShowsWhatEachHostRuns(t *testing.T) {
	env := newEnvironment(t)
	before := env.configurationVersion
	env.putNextConfiguration()
	var current status.Status
	awaiter.New(50*time.Millisecond).Await(t, configurationBound, "every entry host runs the newest version", func() bool {
		current = status.Status{}
		qt.Assert(t, json.Unmarshal(env.poplarctl("status"), &current), qt.IsNil)
		return len(current.Hosts) == len(env.entries) && current.Runs(env.configurationVersion)
	})
	qt.Assert(t, len(current.Endpoints), qt.Equals, len(env.endpoints))
	var compared struct {
		From        int64             `json:"from"`
		To          int64             `json:"to"`
		Differences []json.RawMessage `json:"differences"`
	}
	qt.Assert(t, json.Unmarshal(env.poplarctl("config", "diff", "--from", fmt.Sprint(before)), &compared), qt.IsNil)
	qt.Assert(t, compared.From, qt.Equals, before)
	qt.Assert(t, compared.To, qt.Equals, env.configurationVersion)
	// The only difference is the path prefix of the class that contains the version.
	qt.Assert(t, compared.Differences, qt.HasLen, 1)
	var dump struct {
		HostID string `json:"host_id"`
	}
	lastHost := env.entries[len(env.entries)-1].settings.HostID
	qt.Assert(t, json.Unmarshal(env.poplarctl("dump", "--host", lastHost), &dump), qt.IsNil)
	qt.Assert(t, dump.HostID, qt.Equals, lastHost)
}
