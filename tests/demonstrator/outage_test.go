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
	out := outage{zone: "b", accepted: start, ended: start.Add(5 * time.Second)}
	endpoints := []host.Host{{ID: "in", AvailabilityZone: "b"}, {ID: "beside", AvailabilityZone: "a"}}
	table := []struct {
		name     string
		endpoint string
		after    time.Duration
		want     int64
	}{
		{"within the grace", "in", 1900 * time.Millisecond, 0},
		{"after the grace", "in", 2 * time.Second, 1},
		{"elsewhere", "beside", 3 * time.Second, 0},
		{"back again", "in", 5 * time.Second, 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			run := execution.Execution{EndpointID: row.endpoint, StartedUnixUS: start.Add(row.after).UnixMicro()}
			qt.Assert(t, out.executions(endpoints, []execution.Execution{run}), qt.Equals, row.want)
		})
	}
}
