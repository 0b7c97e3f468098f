package choice_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/tests/choice"
)

// Checks the number of servers, slots, connections, availability zones and regions of each deployment against the
// sizes that its user runs.
func TestDeploymentSizes(t *testing.T) {
	for _, row := range []struct {
		name, largest string
		servers       int
		slots         int
		connections   int
	}{
		{choice.Kite, "stock_availability", 15, 4, 260},
		{choice.Brandstaetter, "fabric_stock", 12, 2, 220},
	} {
		t.Run(row.name, func(t *testing.T) {
			chosen, err := choice.New(row.name)
			qt.Assert(t, err, qt.IsNil)
			servers := make(map[string]int)
			zones := make(map[string]bool)
			regions := make(map[string]bool)
			for _, endpoint := range chosen.Deployment.Endpoints() {
				servers[endpoint.Service]++
				zones[endpoint.AvailabilityZone] = true
				regions[endpoint.Region] = true
				qt.Assert(t, endpoint.Slots, qt.Equals, row.slots)
				qt.Assert(t, endpoint.Connections, qt.Equals, row.connections)
				qt.Assert(t, endpoint.State, qt.Equals, host.StateLive)
			}
			qt.Check(t, zones, qt.HasLen, 6)
			qt.Check(t, regions, qt.HasLen, 3)
			qt.Check(t, servers, qt.HasLen, 4)
			for service, count := range servers {
				want := 12
				if service == row.largest {
					want = row.servers
				}
				qt.Check(t, count, qt.Equals, want, qt.Commentf("%s", service))
			}
		})
	}
}

func TestUnknownNameIsRefused(t *testing.T) {
	_, err := choice.New("kites")
	qt.Assert(t, err, qt.ErrorIs, choice.ErrUnknown)
	qt.Assert(t, err, qt.ErrorMatches, `value "kites", allowed: kite, brandstaetter: unknown deployment`)
}
