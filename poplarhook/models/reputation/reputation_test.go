package reputation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/reputation"
)

func TestFailureRateRisesAndDecays(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	r := reputation.New()
	c.Assert(r.FailureRate(now, "a"), qt.Equals, 0.0)
	for i := range 20 {
		r.Record(now, "a", i%2 == 0)
		r.Record(now, "b", false)
	}
	c.Assert(r.FailureRate(now, "a") > 0.4, qt.IsTrue)
	c.Assert(r.FailureRate(now, "b"), qt.Equals, 0.0)
	c.Assert(r.FailureRate(now.Add(30*time.Second), "a") < 0.01, qt.IsTrue)
	r.Retain(func(endpoint string) bool { return endpoint == "b" })
	c.Assert(r.FailureRate(now, "a"), qt.Equals, 0.0)
}
