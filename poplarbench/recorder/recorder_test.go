package recorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/recorder"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

func TestResult(t *testing.T) {
	c := qt.New(t)
	r := recorder.New(scenario.Scenario{Mix: []scenario.Entry{{Name: "a"}, {Name: "b"}}})
	for i := 1; i <= 100; i++ {
		r.Add(outcome.Outcome{Kind: outcome.Served, Intended: 2500 * time.Millisecond, Latency: time.Duration(i) * time.Millisecond})
	}
	r.Add(outcome.Outcome{Entry: 1, Kind: outcome.NotRun, Detail: "status 503", IsLate: true})
	r.Add(outcome.Outcome{Entry: 1, Kind: outcome.NotRun, Detail: "status 503", Resends: 1})
	r.Add(outcome.Outcome{Entry: 1, Kind: outcome.Broken, Detail: "timeout"})
	got := r.Result()
	c.Assert(got.Sent, qt.Equals, int64(103))
	c.Assert(got.Mix[0].Served, qt.Equals, int64(100))
	c.Assert(got.Mix[1].NotRun, qt.Equals, int64(2))
	c.Assert(got.LateSends, qt.Equals, int64(1))
	c.Assert(got.ClientResends, qt.Equals, int64(1))
	c.Assert(got.P50MS > 49.9 && got.P50MS < 50.1, qt.IsTrue, qt.Commentf("p50 %f", got.P50MS))
	c.Assert(got.P99MS > 98.9 && got.P99MS < 99.1, qt.IsTrue, qt.Commentf("p99 %f", got.P99MS))
	c.Assert(got.Windows, qt.HasLen, 3)
	c.Assert(got.Windows[0].Refusals, qt.Equals, int64(2))
	c.Assert(got.Windows[0].Broken, qt.Equals, int64(1))
	c.Assert(got.Windows[1].Sent, qt.Equals, int64(0))
	c.Assert(got.Windows[2].Served, qt.Equals, int64(100))
	c.Assert(got.Failures, qt.DeepEquals, []result.Failure{
		{Kind: "broken", Reason: "timeout", Count: 1}, {Kind: "not_run", Reason: "status 503", Count: 2},
	})
}
