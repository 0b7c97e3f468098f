package failures_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

const (
	// few is the brief's "a few seconds".
	few = 5 * time.Second
	// conditionLimit bounds the wait for a condition.
	conditionLimit = 10 * time.Second
	conditionPoll  = 10 * time.Millisecond
)

// endpointFaults is what the endpoint stand-ins are told; fields not set stay as they are.
type endpointFaults struct {
	Leaving           *bool `json:"leaving,omitempty"`
	Silent            *bool `json:"silent,omitempty"`
	Truncate          *bool `json:"truncate,omitempty"`
	WrongLength       *bool `json:"wrong_length,omitempty"`
	Surplus           *bool `json:"surplus,omitempty"`
	Abrupt            *bool `json:"abrupt,omitempty"`
	Restart           bool  `json:"restart,omitempty"`
	ForgetConnections bool  `json:"forget_connections,omitempty"`
}

// platformFaults is what the platform stand-in is told; fields not set stay as they are.
type platformFaults struct {
	Down          *bool `json:"down,omitempty"`
	Hang          *bool `json:"hang,omitempty"`
	DelayMS       *int  `json:"delay_ms,omitempty"`
	LoseReplies   int   `json:"lose_replies,omitempty"`
	Stale         *bool `json:"stale,omitempty"`
	HostListLagMS *int  `json:"host_list_lag_ms,omitempty"`
	HostListDown  *bool `json:"host_list_down,omitempty"`
}

func lookups() scenario.Entry {
	return scenario.Entry{
		Name: "stock_lookup", Weight: 1, Method: http.MethodGet, Path: "/stock/tissue-17", AnswerBytes: 600, DeadlineMS: 1000,
	}
}

func orders() scenario.Entry {
	return scenario.Entry{
		Name: "allocation_order", Weight: 1, Method: http.MethodPost, Path: "/allocations", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000,
	}
}

// pohja is a small deployment in one region of two availability zones.
func pohja(services ...deployment.Service) deployment.Deployment {
	return deployment.Kite().WithServices(services...).WithZones(
		deployment.Zone{Name: "pohja-a", Region: "pohja"}, deployment.Zone{Name: "pohja-b", Region: "pohja"})
}

func start(t *testing.T, d deployment.Deployment, options ...fleet.Option) *fleet.Fleet {
	t.Helper()
	bin, err := fleet.Bin()
	qt.Assert(t, err, qt.IsNil)
	running, err := fleet.Start(t.Context(), bin, d, append([]fleet.Option{
		fleet.WithLogFolder(t.TempDir()),
		fleet.WithEntryArguments("--drain-notice", "100ms"),
	}, options...)...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = running.Stop() })
	return running
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	awaitWithin(t, conditionLimit, what, condition)
}

func awaitWithin(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	awaiter.New(conditionPoll).Await(t, limit, what, condition)
}

// pass lets a stretch of time pass during which a fault lasts.
func pass(t *testing.T, stretch time.Duration) {
	t.Helper()
	end := time.Now().Add(stretch)
	awaitWithin(t, stretch+conditionLimit, "time to pass", func() bool { return time.Now().After(end) })
}

func control(t *testing.T, running *fleet.Fleet, endpoint host.Host, faults endpointFaults) {
	t.Helper()
	qt.Assert(t, running.ControlEndpoint(t.Context(), endpoint.ID, faults), qt.IsNil)
}

func controlPlatform(t *testing.T, running *fleet.Fleet, faults platformFaults) {
	t.Helper()
	qt.Assert(t, running.ControlPlatform(t.Context(), faults), qt.IsNil)
}

func endpointsOf(running *fleet.Fleet, service string) []host.Host {
	var kept []host.Host
	for _, endpoint := range running.Endpoints() {
		if endpoint.Service == service {
			kept = append(kept, endpoint)
		}
	}
	return kept
}

func idsInZone(running *fleet.Fleet, zones ...string) map[string]bool {
	ids := make(map[string]bool)
	for _, endpoint := range running.Endpoints() {
		for _, zone := range zones {
			if endpoint.AvailabilityZone == zone {
				ids[endpoint.ID] = true
			}
		}
	}
	return ids
}
