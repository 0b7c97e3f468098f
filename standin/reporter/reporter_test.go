package reporter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/standin/loadreport"
	"poplarhook.example/standin/reporter"
)

func TestReportsAreDelayedByLag(t *testing.T) {
	c := qt.New(t)
	const lag = 50 * time.Millisecond
	r := reporter.New()
	record := func(atMS, inFlight int) int {
		now := time.Unix(0, 0).Add(time.Duration(atMS) * time.Millisecond)
		return r.Record(now, loadreport.New("i", 2, inFlight, inFlight, false, false), lag).NamedMetrics.InFlight
	}
	c.Assert(record(0, 1), qt.Equals, 1)
	c.Assert(record(10, 2), qt.Equals, 1)
	c.Assert(record(59, 3), qt.Equals, 1)
	c.Assert(record(60, 4), qt.Equals, 2)
	c.Assert(record(200, 5), qt.Equals, 4)
}
