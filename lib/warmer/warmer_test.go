package warmer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/report"
	"poplarhook.example/lib/warmer"
)

const slots = 2

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listedWarmer() *warmer.Warmer {
	w := warmer.New()
	w.SetListed(at(0), true, false, "i1")
	w.Limit(at(0), slots)
	return w
}

// warmWarmer returns the Warmer of an endpoint that is fully warm before 1 s.
func warmWarmer() *warmer.Warmer {
	w := listedWarmer()
	w.Observe(at(0), report.Report{Incarnation: "i1"})
	for i := range 20 {
		w.Success(at(i), "i1", at(i), 1)
	}
	return w
}

func TestWarmUp(t *testing.T) {
	c := qt.New(t)
	w := warmer.New()
	c.Assert(w.Open(at(0)), qt.IsFalse)
	c.Assert(w.Reason(at(0), slots), qt.Equals, warmer.ReasonNotListed)
	w.SetListed(at(0), true, false, "i1")
	c.Assert(w.State(at(0)), qt.Equals, warmer.StateNew)
	w.Observe(at(1), report.Report{Incarnation: "i1"})
	c.Assert(w.Cold(at(1)), qt.IsTrue, qt.Commentf("a report without answers"))

	var limits []int
	for i := range 12 {
		w.Success(at(2+i), "i1", at(2+i), 1)
		limits = append(limits, w.Limit(at(2+i), slots))
		c.Assert(w.Cold(at(2+i)), qt.Equals, i < 4)
	}
	c.Assert(limits, qt.DeepEquals, []int{1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3})
	c.Assert(w.Reason(at(20), slots), qt.Equals, warmer.ReasonWarm)
	w.Failure(at(21))
	c.Assert(w.Limit(at(21), slots), qt.Equals, 1)
	c.Assert(w.Reason(at(21), slots), qt.Equals, warmer.ReasonRamping)
	for i := range 12 {
		w.Success(at(22+i), "i1", at(22+i), 1)
	}
	c.Assert(w.Limit(at(40), 4*slots), qt.Equals, 3, qt.Commentf("a higher slot limit is not reached at once"))
	w.Success(at(41), "i1", at(41), 6)
	c.Assert(w.Limit(at(41), 4*slots), qt.Equals, 4)
}

func TestHardLimitExceedsLimitOnlyWhenFullyWarm(t *testing.T) {
	c := qt.New(t)
	w := listedWarmer()
	c.Assert(w.Capacity(at(0), "a", slots).HardLimit, qt.Equals, 1)
	w = warmWarmer()
	c.Assert(w.Capacity(at(1000), "a", slots).Limit, qt.Equals, slots+1)
	c.Assert(w.Capacity(at(1000), "a", slots).HardLimit, qt.Equals, 4*slots)
	w.ConnectionReset(at(1000))
	c.Assert(w.Capacity(at(1000), "a", slots).HardLimit, qt.Equals, w.Limit(at(1000), slots))
}

func TestUncertainEndpointIsCold(t *testing.T) {
	tests := []struct {
		reason string
		event  func(w *warmer.Warmer)
	}{
		{warmer.ReasonReportsCold, func(w *warmer.Warmer) { w.Observe(at(1000), report.Report{Incarnation: "i1", Cold: true}) }},
		{warmer.ReasonIncarnation, func(w *warmer.Warmer) { w.Observe(at(1000), report.Report{Incarnation: "i2"}) }},
		{warmer.ReasonIncarnation, func(w *warmer.Warmer) { w.Success(at(1000), "i2", at(999), 50) }},
		{warmer.ReasonIncarnation, func(w *warmer.Warmer) { w.SetListed(at(1000), true, false, "i2") }},
		{warmer.ReasonConnectionReset, func(w *warmer.Warmer) { w.ConnectionReset(at(1000)) }},
		{warmer.ReasonZoneBack, func(w *warmer.Warmer) { w.ZoneOut(at(900)); w.ZoneBack(at(1000)) }},
		{warmer.ReasonListedAgain, func(w *warmer.Warmer) {
			w.SetListed(at(900), false, false, "")
			w.SetListed(at(1000), true, false, "i1")
		}},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			c := qt.New(t)
			w := warmWarmer()
			c.Assert(w.Limit(at(500), slots), qt.Equals, slots+1)
			test.event(w)
			c.Assert(w.Cold(at(1000)), qt.IsTrue)
			c.Assert(w.Limit(at(1000), slots), qt.Equals, 1)
			c.Assert(w.Reason(at(1000), slots), qt.Equals, test.reason)
			w.Observe(at(1001), report.Report{})
			w.Success(at(1002), "", at(999), 100)
			c.Assert(w.Cold(at(1002)), qt.IsTrue, qt.Commentf("answers to requests sent before the endpoint became cold"))
		})
	}
}

func TestClosedEndpointGetsNoWork(t *testing.T) {
	tests := []struct {
		state, reason string
		event         func(w *warmer.Warmer)
	}{
		{warmer.StateOut, warmer.ReasonZoneOut, func(w *warmer.Warmer) { w.ZoneOut(at(1000)) }},
		{warmer.StateOut, warmer.ReasonNotListed, func(w *warmer.Warmer) { w.SetListed(at(1000), false, false, "") }},
		{warmer.StateLeaving, warmer.ReasonListedLeaving, func(w *warmer.Warmer) { w.SetListed(at(1000), true, true, "i1") }},
		{warmer.StateLeaving, warmer.ReasonReportsLeaving, func(w *warmer.Warmer) {
			w.Observe(at(999), report.Report{Leaving: true})
			w.Observe(at(1000), report.Report{})
		}},
		{warmer.StateFailed, warmer.ReasonFailures, func(w *warmer.Warmer) {
			for range 3 {
				w.Failure(at(1000))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			c := qt.New(t)
			w := warmWarmer()
			test.event(w)
			c.Assert(w.Open(at(1000)), qt.IsFalse)
			c.Assert(w.Capacity(at(1000), "e", slots).Limit, qt.Equals, 0)
			c.Assert(w.State(at(1000)), qt.Equals, test.state)
			c.Assert(w.Reason(at(1000), slots), qt.Equals, test.reason)
		})
	}
}

func TestEndpointThatDidNotLeaveReopensCold(t *testing.T) {
	c := qt.New(t)
	w := warmWarmer()
	w.Observe(at(1000), report.Report{Leaving: true})
	w.Observe(at(10_999), report.Report{})
	c.Assert(w.Open(at(10_999)), qt.IsFalse)
	w.Observe(at(11_000), report.Report{})
	c.Assert(w.Open(at(11_000)), qt.IsTrue)
	c.Assert(w.Cold(at(11_000)), qt.IsTrue)
}

func TestBackoffDoubles(t *testing.T) {
	c := qt.New(t)
	w := warmWarmer()
	for range 3 {
		w.Failure(at(1000))
	}
	c.Assert(w.Open(at(1999)), qt.IsFalse)
	c.Assert(w.Open(at(2000)), qt.IsTrue)
	c.Assert(w.Cold(at(2000)), qt.IsTrue)
	w.Failure(at(2000))
	c.Assert(w.Open(at(3999)), qt.IsFalse)
	c.Assert(w.Open(at(4000)), qt.IsTrue)
}

// TestNotWarmBeforeEnoughAnswers applies random events to a Warmer and compares it with a separate count of the answers
// since the endpoint last became cold.
func TestNotWarmBeforeEnoughAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := listedWarmer()
		now, answers, incarnation, coldSince, reportedCold := 0, 0, "", -1000, false
		makeCold := func(byReport bool) { answers, coldSince, reportedCold = 0, now, byReport }
		for range 200 {
			now += rapid.IntRange(1, 5).Draw(t, "gap")
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				cold := rapid.Bool().Draw(t, "cold")
				w.Observe(at(now), report.Report{Incarnation: incarnation, Cold: cold})
				if cold && !reportedCold {
					makeCold(true)
				}
			case 1:
				incarnation += "x"
				w.SetIncarnation(at(now), incarnation)
				if len(incarnation) > 1 {
					makeCold(false)
				}
			case 2:
				w.ConnectionReset(at(now))
				makeCold(false)
			default:
				sent := now - rapid.IntRange(0, 20).Draw(t, "age")
				w.Success(at(now), incarnation, at(sent), 1)
				if sent >= coldSince {
					answers++
				}
			}
			if !w.Cold(at(now)) && answers < 5 {
				t.Fatalf("warm after %d answers", answers)
			}
			if limit := w.Limit(at(now), slots); limit > 1+max(0, answers-5)/2 {
				t.Fatalf("limit %d after %d answers", limit, answers)
			}
		}
	})
}
