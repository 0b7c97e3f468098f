package admitter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/admitter"
)

const ms = time.Millisecond

func TestJudge(t *testing.T) {
	for name, test := range map[string]struct {
		given admitter.Case
		want  admitter.Verdict
	}{
		"punctual":                        {admitter.Case{Estimate: 100 * ms, Work: 60 * ms, Target: 200 * ms, Deadline: 1000 * ms}, admitter.Send},
		"punctual but full":               {admitter.Case{Estimate: 100 * ms, Work: 60 * ms, Target: 200 * ms, Deadline: 1000 * ms, Full: true}, admitter.Wait},
		"late by its queue, time is left": {admitter.Case{Estimate: 300 * ms, Work: 60 * ms, Target: 200 * ms, Deadline: 1000 * ms}, admitter.Wait},
		"late by its queue, no time left": {admitter.Case{Estimate: 300 * ms, Work: 60 * ms, Target: 50 * ms, Deadline: 1000 * ms}, admitter.Refuse},
		"late, but a slot is free":        {admitter.Case{Estimate: 300 * ms, Work: 60 * ms, Target: 50 * ms, Deadline: 1000 * ms, Free: true}, admitter.Send},
		"past its target, a slot is free": {admitter.Case{Estimate: 60 * ms, Work: 60 * ms, Target: -10 * ms, Deadline: 500 * ms, Free: true}, admitter.Send},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, admitter.Judge(test.given), qt.Equals, test.want)
		})
	}
}

// TestMoreCallersArePunctualUnderOverload plays a group of endpoints that is asked for half as much again as it can
// do, and counts the callers that are answered before their targets.
func TestMoreCallersArePunctualUnderOverload(t *testing.T) {
	c := qt.New(t)
	judged := play(admitter.Judge)
	queued := play(func(given admitter.Case) admitter.Verdict {
		if given.Full {
			return admitter.Refuse
		}
		return admitter.Send
	})
	c.Logf("punctual of 1500: %d judged, %d queued at endpoints", judged, queued)
	c.Assert(judged > 2*queued, qt.IsTrue)
	c.Assert(judged > 900, qt.IsTrue, qt.Commentf("the slots can answer 1000 in that time"))
}

const (
	slots  = 8
	work   = 80 * ms
	target = 200 * ms
	// depth is how many requests the endpoints would queue for each slot.
	depth = 4
)

// play lets 1500 callers arrive in ten seconds at slots that can answer 1000 of them.
func play(judge func(given admitter.Case) admitter.Verdict) (punctual int) {
	free := make([]time.Duration, slots)
	const callers = 1500
	const gap = 10 * time.Second / callers
	type waiting struct{ arrived time.Duration }
	var waits []waiting
	for now := time.Duration(0); now < 12*time.Second; now += ms {
		if int(now/gap) < callers && now%gap < ms {
			waits = append(waits, waiting{arrived: now})
		}
		kept := waits[:0]
		for _, w := range waits {
			best := 0
			for i := range free {
				if free[i] < free[best] {
					best = i
				}
			}
			queue := max(free[best]-now, 0)
			verdict := judge(admitter.Case{
				Estimate: queue + work, Work: work, Target: w.arrived + target - now, Deadline: w.arrived + time.Second - now,
				Free: queue == 0, Full: queue >= depth*work,
			})
			switch verdict {
			case admitter.Send:
				free[best] = now + queue + work
				if free[best]-w.arrived <= target {
					punctual++
				}
			case admitter.Wait:
				kept = append(kept, w)
			}
		}
		waits = kept
	}
	return punctual
}
