package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/scheduler"
)

// TestPlannedBySize gives the slope that docs/CAPACITY.md uses: what heartbeats cost a host, by the number of hosts.
func TestPlannedBySize(t *testing.T) {
	last := 0
	for _, size := range []int{17, 50, 100, 200, 400, 800} {
		all := fleet(size)
		planned := scheduler.New(all[0]).Planned(all[1:])
		t.Logf("%d hosts in 3 regions: %d bytes a second", size, planned)
		qt.Assert(t, planned > last, qt.IsTrue)
		last = planned
	}
}
