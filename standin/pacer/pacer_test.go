package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/standin/pacer"
)

func TestSpellsStretchWork(t *testing.T) {
	c := qt.New(t)
	from := time.Unix(0, 0)
	const (
		steps  = 20000
		step   = time.Millisecond
		factor = 6.0
	)
	p := pacer.New(1, step, from, pacer.WithSpells(factor, 40*time.Millisecond, 400*time.Millisecond))
	same := pacer.New(1, step, from, pacer.WithSpells(factor, 40*time.Millisecond, 400*time.Millisecond))
	at := from
	var drawn time.Duration
	for range steps {
		work := p.Draw()
		drawn += work
		next := p.Finish(at, work)
		c.Assert(next, qt.Equals, same.Finish(at, same.Draw()))
		c.Assert(next.Sub(at) >= work, qt.IsTrue)
		c.Assert(float64(next.Sub(at)) <= factor*float64(work)+float64(step), qt.IsTrue)
		at = next
	}
	mean := float64(drawn) / steps / float64(step)
	c.Assert(mean > 0.98 && mean < 1.02, qt.IsTrue, qt.Commentf("mean %v", mean))
	// A tenth of the time passes at a sixth of the pace.
	pace := float64(drawn) / float64(at.Sub(from))
	c.Assert(pace > 0.90 && pace < 0.935, qt.IsTrue, qt.Commentf("pace %v", pace))
}
