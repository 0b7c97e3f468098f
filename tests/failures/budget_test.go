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
	// burstSeconds is how many seconds of the control budget may be sent at once.
	burstSeconds = 0.5
)

// controlTraffic is the part of a state dump about the traffic that an entry host has sent to its peers.
type controlTraffic struct {
	Traffic struct {
		BytesOut uint64 `json:"bytes_out"`
	} `json:"peer_traffic"`
	Spending struct {
		AllowedBytes    uint64 `json:"allowed_bytes"`
		ChargedBytes    uint64 `json:"charged_bytes"`
		OverspentBytes  uint64 `json:"overspent_bytes"`
		RefusedMessages uint64 `json:"refused_messages"`
		HoldTimeRaises  uint64 `json:"coarsened"`
	} `json:"control_spending"`
}

// The control traffic of each host, heartbeats included and measured at the socket, stays within its budget under a
// load that needs more.
func TestControlTrafficStaysWithinItsBudget(t *testing.T) {
	for _, controlBudget := range []float64{4096, 1024} {
		t.Run(fmt.Sprint(controlBudget), func(t *testing.T) { checkControlBudget(t, controlBudget) })
	}
}

func checkControlBudget(t *testing.T, controlBudget float64) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "stock_availability", Servers: 6}), fleet.WithEntries(4),
		fleet.WithEntryArguments("--control-budget", fmt.Sprint(controlBudget)))
	l := startLoad(t, running, 800, running.EntryAddresses(), newLookupEntry())
	l.awaitServed(t, 400)
	before := readControlTraffic(t, running)
	from := time.Now()
	waitDuration(t, 4*time.Second)
	after := readControlTraffic(t, running)
	seconds := time.Since(from).Seconds()
	for id := range after {
		allowed := float64(after[id].Spending.AllowedBytes - before[id].Spending.AllowedBytes)
		charged := float64(after[id].Spending.ChargedBytes - before[id].Spending.ChargedBytes)
		sent := float64(after[id].Traffic.BytesOut - before[id].Traffic.BytesOut)
		t.Logf("%s: per second %.0f bytes allowed, %.0f charged, %.0f at the socket; %d messages refused, hold time raised %d times, %d bytes overspent",
			id, allowed/seconds, charged/seconds, sent/seconds, after[id].Spending.RefusedMessages,
			after[id].Spending.HoldTimeRaises, after[id].Spending.OverspentBytes)
		qt.Check(t, allowed+charged <= controlBudget*(seconds+burstSeconds), qt.IsTrue)
		qt.Check(t, sent <= controlBudget*(seconds+burstSeconds), qt.IsTrue)
		qt.Check(t, after[id].Spending.OverspentBytes, qt.Equals, before[id].Spending.OverspentBytes)
	}
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.countOutcomes(outcome.Served) > 0, qt.IsTrue)
}

func readControlTraffic(t *testing.T, running *fleet.Fleet) map[string]controlTraffic {
	t.Helper()
	all := make(map[string]controlTraffic)
	for _, entry := range running.Entries() {
		var s controlTraffic
		qt.Assert(t, running.State(t.Context(), entry.ID, &s), qt.IsNil)
		all[entry.ID] = s
	}
	return all
}
