package demonstrator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/execution"
)

func TestOutageExecutions(t *testing.T) {
	start := time.Unix(1000, 0)
	out := outage{zone: "b", acceptedAt: start, endedAt: start.Add(5 * time.Second)}
	endpoints := []host.Host{{ID: "in", AvailabilityZone: "b"}, {ID: "outside", AvailabilityZone: "a"}}
	table := []struct {
		name     string
		endpoint string
		after    time.Duration
		want     int64
	}{
		{"within the grace period", "in", 1900 * time.Millisecond, 0},
		{"after the grace period", "in", 2 * time.Second, 1},
		{"in another zone", "outside", 3 * time.Second, 0},
		{"after the outage", "in", 5 * time.Second, 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			run := execution.Execution{EndpointID: row.endpoint, StartedUnixUS: start.Add(row.after).UnixMicro()}
			qt.Assert(t, out.countExecutions(endpoints, []execution.Execution{run}), qt.Equals, row.want)
		})
	}
}
