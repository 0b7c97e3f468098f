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
	// reactionTime is how soon the fleet must have reacted to a fault; the requirement is "within a few seconds".
	reactionTime = 5 * time.Second
	// conditionTimeout is the default limit of a wait for a condition.
	conditionTimeout      = 10 * time.Second
	conditionPollInterval = 10 * time.Millisecond
)

// endpointFaults is a change of the faults of endpoint stand-ins. Faults whose fields are not set stay unchanged.
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

// platformFaults is a change of the faults of the platform stand-in. Faults whose fields are not set stay unchanged.
type platformFaults struct {
	Down          *bool `json:"down,omitempty"`
	Hang          *bool `json:"hang,omitempty"`
	DelayMS       *int  `json:"delay_ms,omitempty"`
	LoseReplies   int   `json:"lose_replies,omitempty"`
	Stale         *bool `json:"stale,omitempty"`
	HostListLagMS *int  `json:"host_list_lag_ms,omitempty"`
	HostListDown  *bool `json:"host_list_down,omitempty"`
}

func newLookupEntry() scenario.Entry {
	return scenario.Entry{
		Name: "stock_lookup", Weight: 1, Method: http.MethodGet, Path: "/stock/tissue-17", AnswerBytes: 600, DeadlineMS: 1000,
	}
}

func newOrderEntry() scenario.Entry {
	return scenario.Entry{
		Name: "allocation_order", Weight: 1, Method: http.MethodPost, Path: "/allocations", BodyBytes: 400,
		OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000,
	}
}

// oneRegionDeployment returns a small deployment in the region pohja, with two availability zones.
func oneRegionDeployment(services ...deployment.Service) deployment.Deployment {
	return deployment.Kite().WithServices(services...).WithZones(
		deployment.Zone{Name: "pohja-a", Region: "pohja"}, deployment.Zone{Name: "pohja-b", Region: "pohja"})
}

func startFleet(t *testing.T, d deployment.Deployment, options ...fleet.Option) *fleet.Fleet {
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

func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	awaitWithin(t, conditionTimeout, what, condition)
}

func awaitWithin(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	awaiter.New(conditionPollInterval).Await(t, limit, what, condition)
}

// waitDuration waits for a fixed time, for example while a fault lasts.
func waitDuration(t *testing.T, duration time.Duration) {
	t.Helper()
	end := time.Now().Add(duration)
	awaitWithin(t, duration+conditionTimeout, "time to pass", func() bool { return time.Now().After(end) })
}

func setEndpointFaults(t *testing.T, running *fleet.Fleet, endpoint host.Host, faults endpointFaults) {
	t.Helper()
	qt.Assert(t, running.ControlEndpoint(t.Context(), endpoint.ID, faults), qt.IsNil)
}

func setPlatformFaults(t *testing.T, running *fleet.Fleet, faults platformFaults) {
	t.Helper()
	qt.Assert(t, running.ControlPlatform(t.Context(), faults), qt.IsNil)
}

func endpointsOf(running *fleet.Fleet, service string) []host.Host {
	var found []host.Host
	for _, endpoint := range running.Endpoints() {
		if endpoint.Service == service {
			found = append(found, endpoint)
		}
	}
	return found
}

func endpointIDsInZones(running *fleet.Fleet, zones ...string) map[string]bool {
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
