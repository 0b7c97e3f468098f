package runner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/runner"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
)

// blockingSender returns no outcome until the wanted number of requests has been sent or the context ends.
type blockingSender struct {
	want    int
	arrived chan struct{}
	release chan struct{}
}

func (s *blockingSender) Send(ctx context.Context, arrival scheduler.Arrival, _ time.Time) outcome.Outcome {
	s.arrived <- struct{}{}
	if len(s.arrived) == s.want {
		close(s.release)
	}
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return outcome.Outcome{RequestID: arrival.RequestID, Kind: outcome.Served}
}

func schedule(c *qt.C, durationMS int64) *scheduler.Scheduler {
	s, err := scheduler.New(scenario.Scenario{
		DurationMS: durationMS, RatePerS: 1000, Arrivals: scenario.Constant, Mix: []scenario.Entry{{Weight: 1}},
	}, 1, scheduler.RoundRobin)
	c.Assert(err, qt.IsNil)
	return s
}

// A missing answer must not delay later requests.
func TestRunIsOpenLoop(t *testing.T) {
	c := qt.New(t)
	sender := &blockingSender{want: 49, arrived: make(chan struct{}, 100), release: make(chan struct{})}
	outcomes := runner.New(schedule(c, 50), sender, time.Now).Run(t.Context())
	c.Assert(outcomes, qt.HasLen, 49)
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	sender := &blockingSender{want: -1, arrived: make(chan struct{}, 100_000), release: make(chan struct{})}
	outcomes := runner.New(schedule(c, 60_000), sender, time.Now).Run(ctx)
	c.Assert(len(outcomes) < 1000, qt.IsTrue)
}
