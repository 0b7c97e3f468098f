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

// racedZone is the availability zone that operators race for.
const racedZone = "pohja-b"

// zoneCommand is a command that moves the raced zone, and its answer.
type zoneCommand struct {
	name     string
	changeID string
	accepted index.Change
	err      error
}

// move runs a command through one entry host, in a process of its own.
func move(t *testing.T, running *fleet.Fleet, name, changeID, admin string) zoneCommand {
	t.Helper()
	command := zoneCommand{name: name, changeID: changeID}
	text, err := running.Ctl(t.Context(), fleet.Operators, "zone", name, racedZone, "--change-id", changeID, "--json", "--admin", "http://"+admin)
	command.err = err
	if err == nil {
		command.err = json.Unmarshal([]byte(text), &command.accepted)
	}
	return command
}

// race runs a command out and a command in at once, each through an entry host of its own.
func race(t *testing.T, running *fleet.Fleet, round int) []zoneCommand {
	t.Helper()
	entries := running.Entries()
	ended := make(chan zoneCommand, 2)
	for i, name := range []string{"out", "in"} {
		go func() {
			ended <- move(t, running, name, fmt.Sprintf("race-%d-%s", round, name), entries[i+1].AdminAddress)
		}()
	}
	return []zoneCommand{<-ended, <-ended}
}

// The same zone goes out and back three times in quick succession, its endpoints cold each time, while two operators
// race: every answer is true, all hosts run what was accepted last, and no cold endpoint gets more than it bears.
func TestZoneOutAndBackThriceByRacingOperators(t *testing.T) {
	running := start(t, regions(), fleet.WithEntries(6), coldEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	l := offer(t, running, 300, running.EntryAddresses(), zoneMix()...)
	l.awaitServed(t, 300)
	from := time.Now()
	admin := running.Entries()[0].AdminAddress
	var all []zoneCommand
	for round := range 3 {
		all = append(all, move(t, running, "out", fmt.Sprintf("round-%d-out", round), admin))
		l.awaitServed(t, 50)
		restartZone(t, running, racedZone)
		controlPlatform(t, running, platformFaults{LoseReplies: 1, DelayMS: new(20)})
		all = append(all, race(t, running, round)...)
		controlPlatform(t, running, platformFaults{DelayMS: new(0)})
		last := checkAnswers(t, running, all)
		t.Logf("round %d: %q was accepted last, at revision %d", round, last.name, last.accepted.Revision)
		checkZoneState(t, running, last)
		if last.name == "out" {
			all = append(all, move(t, running, "in", fmt.Sprintf("round-%d-in", round), admin))
		}
		l.awaitServed(t, 200)
	}
	back := time.Now()
	l.awaitServed(t, 300)
	checkZoneState(t, running, checkAnswers(t, running, all))
	to := time.Now()
	f := l.end(t)
	f.assertTrue(t)
	checkCold(t, running)
	qt.Check(t, f.startedAt(idsInZone(running, racedZone), back, to) > 0, qt.IsTrue, qt.Commentf("the zone got no work again"))
	f.checkWindows(t, from, to)
}

// checkAnswers checks each answer against the history and returns the command that was accepted last.
func checkAnswers(t *testing.T, running *fleet.Fleet, commands []zoneCommand) zoneCommand {
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
			qt.Check(t, at, qt.Equals, -1, qt.Commentf("%s was refused, yet accepted: %v", command.changeID, command.err))
			continue
		}
		qt.Assert(t, at >= 0, qt.IsTrue, qt.Commentf("%s was accepted, yet is not in the history", command.changeID))
		qt.Check(t, history[at].Revision, qt.Equals, command.accepted.Revision)
		qt.Check(t, history[at].Summary, qt.Equals, "zone "+racedZone+" "+command.name)
		if command.accepted.Revision > last.accepted.Revision {
			last = command
		}
	}
	qt.Check(t, history[0].Revision, qt.Equals, last.accepted.Revision)
	return last
}

// checkZoneState checks that within a few seconds every host holds the zone as the command says.
func checkZoneState(t *testing.T, running *fleet.Fleet, last zoneCommand) {
	t.Helper()
	awaitRevision(t, running, last.accepted.Revision)
	for _, entry := range running.Entries() {
		var dumped runs
		qt.Assert(t, running.State(t.Context(), entry.ID, &dumped), qt.IsNil)
		qt.Check(t, dumped.Snapshot.Revision, qt.Equals, last.accepted.Revision, qt.Commentf("%s", entry.ID))
		qt.Check(t, slices.Contains(dumped.Snapshot.ZonesOut, racedZone), qt.Equals, last.name == "out", qt.Commentf("%s", entry.ID))
	}
}
