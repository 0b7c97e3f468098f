package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/scheduler"
)

// TestHeartbeatRateGrowsWithHosts logs the bytes per second that a host needs for heartbeats, by the number of hosts,
// and checks that they rise with that number. The figures are used in docs/CAPACITY.md.
func TestHeartbeatRateGrowsWithHosts(t *testing.T) {
	last := 0
	for _, size := range []int{17, 50, 100, 200, 400, 800} {
		all := fleet(size)
		rate := scheduler.New(all[0]).HeartbeatRate(all[1:])
		t.Logf("%d hosts in 3 regions: %d bytes per second", size, rate)
		qt.Assert(t, rate > last, qt.IsTrue)
		last = rate
	}
}
