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
	coldLimit = 1
	leaseTerm = time.Second
)

// coldEndpoints are cold until they have answered thirty requests; what was on its way when one restarted is shed.
func coldEndpoints() fleet.Option {
	return fleet.WithEndpointArguments("--cold-requests", "30", "--cold-limit", "1", "--cold-factor", "2", "--cold-grace-ms", "100")
}

// coldCase is one way in which cold endpoints come to be while something fails.
type coldCase struct {
	name    string
	options []fleet.Option
	do      func(t *testing.T, running *fleet.Fleet, l *load)
}

func warmStart() []fleet.Option {
	return []fleet.Option{fleet.WithEndpointArguments("--start-warm")}
}

func coldCases() []coldCase {
	return []coldCase{
		{"new", nil, func(*testing.T, *fleet.Fleet, *load) {}},
		{"restarted", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			for _, endpoint := range running.Endpoints()[:2] {
				control(t, running, endpoint, endpointFaults{Restart: true})
				l.awaitServed(t, 100)
			}
		}},
		{"zone back", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
			l.awaitServed(t, 50)
			restartZone(t, running, "pohja-b")
			qt.Assert(t, running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
		}},
		{"owner frozen", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitSeen(t, 5)
			freezeOver(t, running, ownerOf(t, running), running.Endpoints()[1:3]...)
		}},
		{"borrower frozen", warmStart(), func(t *testing.T, running *fleet.Fleet, _ *load) {
			owner := ownerOf(t, running)
			for _, entry := range running.Entries() {
				if entry.ID != owner {
					freezeOver(t, running, entry.ID, running.Endpoints()[1:3]...)
					return
				}
			}
		}},
		{"owner killed", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitSeen(t, 5)
			qt.Assert(t, running.Kill(ownerOf(t, running)), qt.IsNil)
		}},
	}
}

func coldStoreCases() []coldCase {
	return []coldCase{
		{"store out", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
			l.awaitSeen(t, 5)
			controlPlatform(t, running, platformFaults{Down: new(true)})
			control(t, running, running.Endpoints()[1], endpointFaults{Restart: true})
			pass(t, leaseTerm)
			l.awaitServed(t, 50)
			controlPlatform(t, running, platformFaults{Down: new(false)})
		}},
		{"replies lost", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
			controlPlatform(t, running, platformFaults{LoseReplies: 3})
			control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
		}},
	}
}

// No cold endpoint gets more than it bears, whatever becomes of the host that grants its work, and it warms up again.
func TestColdEndpointsBearTheirLoad(t *testing.T) {
	for _, row := range coldCases() {
		t.Run(row.name, func(t *testing.T) { row.run(t, 250, orders()) })
	}
}

// No cold endpoint gets more than it bears when the store fails.
func TestColdEndpointsBearTheirLoadWithoutTheStore(t *testing.T) {
	for _, row := range coldStoreCases() {
		t.Run(row.name, func(t *testing.T) { row.run(t, 250, orders()) })
	}
}

// No cold endpoint gets more than it bears while an owner that was frozen comes back to lookups that are late.
func TestColdEndpointsBearLateLookupsOfAFrozenOwner(t *testing.T) {
	row := coldCase{"owner frozen", warmStart(), func(t *testing.T, running *fleet.Fleet, l *load) {
		control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
		l.awaitSeen(t, 5)
		freezeOver(t, running, ownerOf(t, running), running.Endpoints()[1:]...)
	}}
	row.run(t, 400, lookups())
}

func (row coldCase) run(t *testing.T, rate float64, entry scenario.Entry) {
	t.Helper()
	options := []fleet.Option{
		fleet.WithEntries(4), coldEndpoints(), fleet.WithEntryArguments("--lease-ttl", leaseTerm.String()),
	}
	services := []deployment.Service{{Name: "allocation", Servers: 4}}
	if !entry.OnceOnly {
		services[0].Name = "stock_availability"
	}
	running := start(t, pohja(services...), append(options, row.options...)...)
	l := offer(t, running, rate, running.EntryAddresses(), entry)
	l.awaitServed(t, 50)
	row.do(t, running, l)
	await(t, "work for cold endpoints", func() bool { return coldPeak(t, running) > 0 })
	l.awaitServed(t, 300)
	l.end(t).assertTrue(t)
	checkCold(t, running)
}

// freezeOver holds an entry host past its lease, in which time some endpoints restart without its seeing.
func freezeOver(t *testing.T, running *fleet.Fleet, entry string, restarted ...host.Host) {
	t.Helper()
	qt.Assert(t, running.Freeze(entry), qt.IsNil)
	for _, endpoint := range restarted {
		control(t, running, endpoint, endpointFaults{Restart: true})
	}
	pass(t, 2*leaseTerm)
	qt.Assert(t, running.Thaw(entry), qt.IsNil)
}

func checkCold(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	records, err := running.Ledger(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, records.FellOver, qt.Equals, int64(0))
	qt.Check(t, records.ColdPeakInFlight <= coldLimit, qt.IsTrue, qt.Commentf("%d in flight", records.ColdPeakInFlight))
}

func coldPeak(t *testing.T, running *fleet.Fleet) int64 {
	t.Helper()
	records, err := running.Ledger(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return records.ColdPeakInFlight
}

func restartZone(t *testing.T, running *fleet.Fleet, zone string) {
	t.Helper()
	qt.Assert(t, running.RestartZone(t.Context(), zone), qt.IsNil)
}

// ownerOf returns the entry host that owns the first group, as a live host knows it.
func ownerOf(t *testing.T, running *fleet.Fleet) string {
	t.Helper()
	var owner string
	await(t, "an owner that lives", func() bool {
		owner = ownerAt(t, running, running.Entries()[0].ID)
		return owner != ""
	})
	return owner
}

// ownerAt returns the owner of the first group that an entry host knows, empty while it knows none.
func ownerAt(t *testing.T, running *fleet.Fleet, id string) string {
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
