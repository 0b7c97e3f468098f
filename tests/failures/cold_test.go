package failures_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

const (
	coldLimit     = 1
	leaseDuration = time.Second
)

// withColdEndpoints makes endpoints cold until they have answered thirty requests. A restarted endpoint sheds the
// requests that were on their way to it at the restart.
func withColdEndpoints() fleet.Option {
	return fleet.WithEndpointArguments("--cold-requests", "30", "--cold-limit", "1", "--cold-factor", "2", "--cold-grace-ms", "100")
}

// coldCase is a way in which endpoints become cold, together with the fault that occurs meanwhile.
type coldCase struct {
	name        string
	options     []fleet.Option
	injectFault func(t *testing.T, running *fleet.Fleet, l *load)
}

func warmStartOptions() []fleet.Option {
	return []fleet.Option{fleet.WithEndpointArguments("--start-warm")}
}

func coldCases() []coldCase {
	return []coldCase{
		{"new", nil, func(*testing.T, *fleet.Fleet, *load) {}},
		{"restarted", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			for _, endpoint := range running.Endpoints()[:2] {
				setEndpointFaults(t, running, endpoint, endpointFaults{Restart: true})
				l.awaitServed(t, 100)
			}
		}},
		{"zone returned", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
			l.awaitServed(t, 50)
			restartZone(t, running, "pohja-b")
			qt.Assert(t, running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
		}},
		{"owner frozen", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitCompleted(t, 5)
			freezePastLease(t, running, awaitOwner(t, running), running.Endpoints()[1:3]...)
		}},
		{"borrower frozen", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, _ *load) {
			owner := awaitOwner(t, running)
			for _, entry := range running.Entries() {
				if entry.ID != owner {
					freezePastLease(t, running, entry.ID, running.Endpoints()[1:3]...)
					return
				}
			}
		}},
		{"owner killed", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitCompleted(t, 5)
			qt.Assert(t, running.Kill(awaitOwner(t, running)), qt.IsNil)
		}},
	}
}

func coldStoreCases() []coldCase {
	return []coldCase{
		{"store down", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitCompleted(t, 5)
			setPlatformFaults(t, running, platformFaults{Down: new(true)})
			setEndpointFaults(t, running, running.Endpoints()[1], endpointFaults{Restart: true})
			waitDuration(t, leaseDuration)
			l.awaitServed(t, 50)
			setPlatformFaults(t, running, platformFaults{Down: new(false)})
		}},
		{"replies lost", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
			setPlatformFaults(t, running, platformFaults{LoseReplies: 3})
			setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
		}},
	}
}

// A cold endpoint never gets more requests than its cold limit, even if the owner that grants its credits fails or a
// borrower is frozen, and requests keep being served while the endpoint warms up again.
func TestColdEndpointsStayWithinTheirLimit(t *testing.T) {
	for _, row := range coldCases() {
		t.Run(row.name, func(t *testing.T) { row.runCase(t, 250, newOrderEntry()) })
	}
}

// A cold endpoint never gets more requests than its cold limit while the store is down or loses its replies.
func TestColdEndpointsStayWithinTheirLimitDuringStoreFaults(t *testing.T) {
	for _, row := range coldStoreCases() {
		t.Run(row.name, func(t *testing.T) { row.runCase(t, 250, newOrderEntry()) })
	}
}

// A cold endpoint never gets more requests than its cold limit when a frozen owner resumes and has to handle lookups
// that the freeze has delayed.
func TestColdEndpointsStayWithinTheirLimitWhenFrozenOwnerResumes(t *testing.T) {
	row := coldCase{"owner frozen", warmStartOptions(), func(t *testing.T, running *fleet.Fleet, l *load) {
		setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
		l.awaitCompleted(t, 5)
		freezePastLease(t, running, awaitOwner(t, running), running.Endpoints()[1:]...)
	}}
	row.runCase(t, 400, newLookupEntry())
}

func (row coldCase) runCase(t *testing.T, rate float64, entry scenario.Entry) {
	t.Helper()
	options := []fleet.Option{
		fleet.WithEntries(4), withColdEndpoints(), fleet.WithEntryArguments("--lease-ttl", leaseDuration.String()),
	}
	services := []deployment.Service{{Name: "allocation", Servers: 4}}
	if !entry.OnceOnly {
		services[0].Name = "stock_availability"
	}
	running := startFleet(t, oneRegionDeployment(services...), append(options, row.options...)...)
	l := startLoad(t, running, rate, running.EntryAddresses(), entry)
	l.awaitServed(t, 50)
	row.injectFault(t, running, l)
	awaitCondition(t, "requests at cold endpoints", func() bool { return coldPeakInFlight(t, running) > 0 })
	l.awaitServed(t, 300)
	l.end(t).checkInvariants(t)
	checkColdEndpoints(t, running)
}

// freezePastLease freezes an entry host for longer than its lease. Some endpoints restart meanwhile, so the host does
// not see their restarts.
func freezePastLease(t *testing.T, running *fleet.Fleet, entry string, restarted ...host.Host) {
	t.Helper()
	qt.Assert(t, running.Freeze(entry), qt.IsNil)
	for _, endpoint := range restarted {
		setEndpointFaults(t, running, endpoint, endpointFaults{Restart: true})
	}
	waitDuration(t, 2*leaseDuration)
	qt.Assert(t, running.Thaw(entry), qt.IsNil)
}

func checkColdEndpoints(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	records, err := running.EndpointRecords(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, records.ColdOverloads, qt.Equals, int64(0))
	qt.Check(t, records.ColdPeakInFlight <= coldLimit, qt.IsTrue, qt.Commentf("%d in flight", records.ColdPeakInFlight))
}

func coldPeakInFlight(t *testing.T, running *fleet.Fleet) int64 {
	t.Helper()
	records, err := running.EndpointRecords(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return records.ColdPeakInFlight
}

func restartZone(t *testing.T, running *fleet.Fleet, zone string) {
	t.Helper()
	qt.Assert(t, running.RestartZone(t.Context(), zone), qt.IsNil)
}

// awaitOwner waits until the first entry host knows the owner of its first group, and returns that owner.
func awaitOwner(t *testing.T, running *fleet.Fleet) string {
	t.Helper()
	var owner string
	awaitCondition(t, "a known owner", func() bool {
		owner = ownerKnownBy(t, running, running.Entries()[0].ID)
		return owner != ""
	})
	return owner
}

// ownerKnownBy returns the owner of the first group in an entry host's state dump, or the empty string if the host
// knows none or cannot be reached.
func ownerKnownBy(t *testing.T, running *fleet.Fleet, id string) string {
	t.Helper()
	var dumped struct {
		Groups []struct {
			Owner string `json:"owner"`
		} `json:"groups"`
	}
	if err := running.State(t.Context(), id, &dumped); err != nil || len(dumped.Groups) == 0 {
		return ""
	}
	return dumped.Groups[0].Owner
}
