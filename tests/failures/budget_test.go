package failures_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

const (
	// burst is the part of a second's budget that may go out at once.
	burst = 0.5
)

// spent is what an entry host has sent to others.
type spent struct {
	Traffic struct {
		BytesOut uint64 `json:"bytes_out"`
	} `json:"peer_traffic"`
	Spending struct {
		AllowedBytes    uint64 `json:"allowed_bytes"`
		ChargedBytes    uint64 `json:"charged_bytes"`
		OverspentBytes  uint64 `json:"overspent_bytes"`
		RefusedMessages uint64 `json:"refused_messages"`
		Coarsened       uint64 `json:"coarsened"`
	} `json:"control_spending"`
}

// What each host sends for control, heartbeats included, stays within its budget at the socket under a load that would like more.
func TestControlTrafficStaysWithinItsBudget(t *testing.T) {
	for _, controlBudget := range []float64{4096, 1024} {
		t.Run(fmt.Sprint(controlBudget), func(t *testing.T) { checkBudget(t, controlBudget) })
	}
}

func checkBudget(t *testing.T, controlBudget float64) {
	running := start(t, pohja(deployment.Service{Name: "stock_availability", Servers: 6}), fleet.WithEntries(4),
		fleet.WithEntryArguments("--control-budget", fmt.Sprint(controlBudget)))
	l := offer(t, running, 800, running.EntryAddresses(), lookups())
	l.awaitServed(t, 400)
	before := spentBy(t, running)
	from := time.Now()
	pass(t, 4*time.Second)
	after := spentBy(t, running)
	seconds := time.Since(from).Seconds()
	for id := range after {
		allowed := float64(after[id].Spending.AllowedBytes - before[id].Spending.AllowedBytes)
		charged := float64(after[id].Spending.ChargedBytes - before[id].Spending.ChargedBytes)
		sent := float64(after[id].Traffic.BytesOut - before[id].Traffic.BytesOut)
		t.Logf("%s: %.0f bytes/s asked for, %.0f charged, %.0f at the socket, %d messages refused, coarser %d times, %d bytes overspent",
			id, allowed/seconds, charged/seconds, sent/seconds, after[id].Spending.RefusedMessages,
			after[id].Spending.Coarsened, after[id].Spending.OverspentBytes)
		qt.Check(t, allowed+charged <= controlBudget*(seconds+burst), qt.IsTrue)
		qt.Check(t, sent <= controlBudget*(seconds+burst), qt.IsTrue)
		qt.Check(t, after[id].Spending.OverspentBytes, qt.Equals, before[id].Spending.OverspentBytes)
	}
	f := l.end(t)
	f.assertTrue(t)
	qt.Check(t, f.count(outcome.Served) > 0, qt.IsTrue)
}

func spentBy(t *testing.T, running *fleet.Fleet) map[string]spent {
	t.Helper()
	all := make(map[string]spent)
	for _, entry := range running.Entries() {
		var s spent
		qt.Assert(t, running.State(t.Context(), entry.ID, &s), qt.IsNil)
		all[entry.ID] = s
	}
	return all
}
