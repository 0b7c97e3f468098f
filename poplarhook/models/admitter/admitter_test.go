package admitter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/admitter"
	"poplarhook.example/poplarhook/models/requirement"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		given admitter.Case
		want  admitter.Decision
	}{
		"in time":                         {admitter.Case{Estimate: 100 * ms, Target: 200 * ms, Urgency: requirement.Normal}, admitter.Send},
		"in time but queue full":          {admitter.Case{Estimate: 100 * ms, Target: 200 * ms, Urgency: requirement.Normal, QueueFull: true}, admitter.Refuse},
		"late by its queue":               {admitter.Case{Estimate: 300 * ms, Target: 200 * ms, Urgency: requirement.High}, admitter.Refuse},
		"hardly in time":                  {admitter.Case{Estimate: 190 * ms, Target: 200 * ms, Urgency: requirement.Normal}, admitter.Refuse},
		"hardly in time but urgent":       {admitter.Case{Estimate: 190 * ms, Target: 200 * ms, Urgency: requirement.High}, admitter.Send},
		"in time for normal urgency":      {admitter.Case{Estimate: 120 * ms, Target: 200 * ms, Urgency: requirement.Normal}, admitter.Send},
		"not in time for low urgency":     {admitter.Case{Estimate: 120 * ms, Target: 200 * ms, Urgency: requirement.Low}, admitter.Refuse},
		"late, but a slot is free":        {admitter.Case{Estimate: 300 * ms, Target: 50 * ms, HasFreeSlot: true}, admitter.Send},
		"past its target, a slot is free": {admitter.Case{Estimate: 60 * ms, Target: -10 * ms, HasFreeSlot: true}, admitter.Send},
		"late by a guess":                 {admitter.Case{Estimate: 300 * ms, Target: 200 * ms, Urgency: requirement.Normal, IsGuess: true}, admitter.Send},
		"late by a guess, queue full":     {admitter.Case{Estimate: 300 * ms, Target: 200 * ms, Urgency: requirement.Normal, IsGuess: true, QueueFull: true}, admitter.Refuse},
		"past its target":                 {admitter.Case{Estimate: 60 * ms, Target: -10 * ms, Urgency: requirement.High}, admitter.Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, admitter.Decide(test.given), qt.Equals, test.want)
		})
	}
}

// TestMoreCallersArePunctualUnderOverload simulates a group of endpoints at 1.5 times its capacity. More than twice as
// many callers must be answered before their targets as when requests are only queued at the endpoints.
func TestMoreCallersArePunctualUnderOverload(t *testing.T) {
	c := qt.New(t)
	decided := countPunctual(admitter.Decide)
	queued := countPunctual(func(given admitter.Case) admitter.Decision {
		if given.QueueFull {
			return admitter.Refuse
		}
		return admitter.Send
	})
	c.Logf("punctual of 1500: %d with the admitter, %d queued at endpoints", decided, queued)
	c.Assert(decided > 2*queued, qt.IsTrue)
	c.Assert(decided > 900, qt.IsTrue, qt.Commentf("the slots can answer 1000 in that time"))
}

const (
	slots       = 8
	serviceTime = 80 * ms
	target      = 200 * ms
	// maxQueuedPerSlot is the number of queued requests per slot from which on an endpoint is full.
	maxQueuedPerSlot = 4
)

// countPunctual simulates 1500 callers that arrive within ten seconds at slots that can answer 1000 of them, and
// returns how many are answered before their targets.
func countPunctual(decide func(given admitter.Case) admitter.Decision) (punctual int) {
	freeAt := make([]time.Duration, slots)
	const callers = 1500
	const gap = 10 * time.Second / callers
	for arrived := time.Duration(0); arrived < callers*gap; arrived += gap {
		best := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[best] {
				best = i
			}
		}
		wait := max(freeAt[best]-arrived, 0)
		decision := decide(admitter.Case{
			Estimate: wait + serviceTime, Target: target, Urgency: requirement.Normal,
			HasFreeSlot: wait == 0, QueueFull: wait >= maxQueuedPerSlot*serviceTime,
		})
		if decision != admitter.Send {
			continue
		}
		freeAt[best] = arrived + wait + serviceTime
		if wait+serviceTime <= target {
			punctual++
		}
	}
	return punctual
}
