package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/standin/pacer"
)

func TestSlowSpellsLengthenServiceTimes(t *testing.T) {
	c := qt.New(t)
	from := time.Unix(0, 0)
	const (
		steps  = 20000
		step   = time.Millisecond
		factor = 6.0
	)
	p := pacer.New(1, step, from, pacer.WithSpells(factor, 40*time.Millisecond, 400*time.Millisecond))
	sameSeed := pacer.New(1, step, from, pacer.WithSpells(factor, 40*time.Millisecond, 400*time.Millisecond))
	at := from
	var drawn time.Duration
	for range steps {
		work := p.Draw()
		drawn += work
		next := p.Finish(at, work)
		c.Assert(next, qt.Equals, sameSeed.Finish(at, sameSeed.Draw()))
		c.Assert(next.Sub(at) >= work, qt.IsTrue)
		c.Assert(float64(next.Sub(at)) <= factor*float64(work)+float64(step), qt.IsTrue)
		at = next
	}
	mean := float64(drawn) / steps / float64(step)
	c.Assert(mean > 0.98 && mean < 1.02, qt.IsTrue, qt.Commentf("mean %v", mean))
	// The spells take up a tenth of the time, and within them work proceeds at a sixth of the usual speed.
	speed := float64(drawn) / float64(at.Sub(from))
	c.Assert(speed > 0.90 && speed < 0.935, qt.IsTrue, qt.Commentf("speed %v", speed))
}
