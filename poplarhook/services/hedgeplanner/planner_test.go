package hedgeplanner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/services/hedgeplanner"
)

const ms = time.Millisecond

func TestHedgeDelayStillMeetsLatencyTarget(t *testing.T) {
	arrived := time.Unix(0, 0)
	for name, test := range map[string]struct {
		sentAfter, left, want time.Duration
	}{
		"sent on arrival":                     {0, 1000 * ms, 300*ms - 84*ms},
		"sent late":                           {100 * ms, 900 * ms, 200*ms - 84*ms},
		"too late for the target":             {280 * ms, 720 * ms, 78 * ms},
		"no more than half of what is left":   {0, 100 * ms, 50 * ms},
		"target has passed, deadline has not": {500 * ms, 500 * ms, 78 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s := hedgeplanner.New()
			s.Record(arrived, "a", 60*ms)
			now := arrived.Add(test.sentAfter)
			j := job.Job{Class: class.Class{Name: "a", LatencyTargetMS: 300}, ArrivedAt: arrived, Deadline: now.Add(test.left)}
			qt.Assert(t, s.Delay(now, j).Round(ms), qt.Equals, test.want)
		})
	}
}

// A hedge of a large answer waits longer: the answer is sent between hosts once more.
func TestLargeAnswersAreHedgedLater(t *testing.T) {
	arrived := time.Unix(0, 0)
	s := hedgeplanner.New()
	s.Record(arrived, "a", 90*ms)
	j := job.Job{Class: class.Class{Name: "a", LatencyTargetMS: 200}, ArrivedAt: arrived, Deadline: arrived.Add(1000 * ms)}
	qt.Assert(t, s.Delay(arrived, j).Round(ms), qt.Equals, 117*ms)
	j.Class.LargeAnswers = true
	qt.Assert(t, s.Delay(arrived, j).Round(ms), qt.Equals, 270*ms)
	j.Deadline = arrived.Add(400 * ms)
	qt.Assert(t, s.Delay(arrived, j).Round(ms), qt.Equals, 200*ms)
}
