package failures_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/index"
	"poplarhook.example/tests/fleet"
)

// contestedZone is the availability zone that operators take out of service and bring back at the same time.
const contestedZone = "pohja-b"

// zoneCommand is a command that takes the contested zone out of service or brings it back, and its result.
type zoneCommand struct {
	name     string
	changeID string
	accepted index.Change
	err      error
}

// runZoneCommand runs a poplarctl process that sends the command to one entry host.
func runZoneCommand(t *testing.T, running *fleet.Fleet, name, changeID, admin string) zoneCommand {
	t.Helper()
	command := zoneCommand{name: name, changeID: changeID}
	text, err := running.Ctl(t.Context(), fleet.Operators, "zone", name, contestedZone, "--change-id", changeID, "--json", "--admin", "http://"+admin)
	command.err = err
	if err == nil {
		command.err = json.Unmarshal([]byte(text), &command.accepted)
	}
	return command
}

// runConcurrentCommands runs "zone out" and "zone in" at the same time, each through a different entry host.
func runConcurrentCommands(t *testing.T, running *fleet.Fleet, round int) []zoneCommand {
	t.Helper()
	entries := running.Entries()
	results := make(chan zoneCommand, 2)
	for i, name := range []string{"out", "in"} {
		go func() {
			results <- runZoneCommand(t, running, name, fmt.Sprintf("race-%d-%s", round, name), entries[i+1].AdminAddress)
		}()
	}
	return []zoneCommand{<-results, <-results}
}

// Two operators concurrently take the same zone out of service and bring it back, three times in quick succession and
// with cold endpoints each time. The result of every poplarctl command matches the history of the configuration, all
// hosts run the change accepted last, and no cold endpoint gets more requests than its cold limit.
func TestZoneCommandsOfConcurrentOperators(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(6), withColdEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	l := startLoad(t, running, 300, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 300)
	from := time.Now()
	admin := running.Entries()[0].AdminAddress
	var commands []zoneCommand
	for round := range 3 {
		commands = append(commands, runZoneCommand(t, running, "out", fmt.Sprintf("round-%d-out", round), admin))
		l.awaitServed(t, 50)
		restartZone(t, running, contestedZone)
		setPlatformFaults(t, running, platformFaults{LoseReplies: 1, DelayMS: new(20)})
		commands = append(commands, runConcurrentCommands(t, running, round)...)
		setPlatformFaults(t, running, platformFaults{DelayMS: new(0)})
		last := checkCommandResults(t, running, commands)
		t.Logf("round %d: %q was accepted last, at revision %d", round, last.name, last.accepted.Revision)
		checkZoneState(t, running, last)
		if last.name == "out" {
			commands = append(commands, runZoneCommand(t, running, "in", fmt.Sprintf("round-%d-in", round), admin))
		}
		l.awaitServed(t, 200)
	}
	back := time.Now()
	l.awaitServed(t, 300)
	checkZoneState(t, running, checkCommandResults(t, running, commands))
	to := time.Now()
	f := l.end(t)
	f.checkInvariants(t)
	checkColdEndpoints(t, running)
	qt.Check(t, f.countExecutions(endpointIDsInZones(running, contestedZone), back, to) > 0, qt.IsTrue, qt.Commentf("the returned zone got no requests"))
	f.checkWindows(t, from, to)
}

// checkCommandResults checks each command's result against the history and returns the command accepted last.
func checkCommandResults(t *testing.T, running *fleet.Fleet, commands []zoneCommand) zoneCommand {
	t.Helper()
	text, err := running.Ctl(t.Context(), fleet.Operators, "config", "history", "--json")
	qt.Assert(t, err, qt.IsNil)
	var history []index.Change
	qt.Assert(t, json.Unmarshal([]byte(text), &history), qt.IsNil)
	var last zoneCommand
	for _, command := range commands {
		at := slices.IndexFunc(history, func(c index.Change) bool { return c.ChangeID == command.changeID })
		if command.err != nil {
			qt.Check(t, strings.Contains(command.err.Error(), "exit status 1"), qt.IsTrue, qt.Commentf("%v", command.err))
			qt.Check(t, at, qt.Equals, -1, qt.Commentf("%s was refused, but is in the history: %v", command.changeID, command.err))
			continue
		}
		qt.Assert(t, at >= 0, qt.IsTrue, qt.Commentf("%s was accepted, but is not in the history", command.changeID))
		qt.Check(t, history[at].Revision, qt.Equals, command.accepted.Revision)
		qt.Check(t, history[at].Summary, qt.Equals, "zone "+contestedZone+" "+command.name)
		if command.accepted.Revision > last.accepted.Revision {
			last = command
		}
	}
	qt.Check(t, history[0].Revision, qt.Equals, last.accepted.Revision)
	return last
}

// checkZoneState checks that every host runs the command's revision and zone state within reactionTime.
func checkZoneState(t *testing.T, running *fleet.Fleet, last zoneCommand) {
	t.Helper()
	awaitRevision(t, running, last.accepted.Revision)
	for _, entry := range running.Entries() {
		var dumped configurationState
		qt.Assert(t, running.State(t.Context(), entry.ID, &dumped), qt.IsNil)
		qt.Check(t, dumped.Snapshot.Revision, qt.Equals, last.accepted.Revision, qt.Commentf("%s", entry.ID))
		qt.Check(t, slices.Contains(dumped.Snapshot.ZonesOut, contestedZone), qt.Equals, last.name == "out", qt.Commentf("%s", entry.ID))
	}
}
