package averager_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/averager"
)

func TestMeanFollowsDurations(t *testing.T) {
	c := qt.New(t)
	a := averager.New()
	_, known := a.Mean("a")
	c.Assert(known, qt.IsFalse)
	a.Record("a", time.Second)
	for range 200 {
		a.Record("a", 100*time.Millisecond)
	}
	mean, known := a.Mean("a")
	c.Assert(known, qt.IsTrue)
	c.Assert(mean.Round(time.Millisecond), qt.Equals, 100*time.Millisecond)
	_, known = a.Mean("b")
	c.Assert(known, qt.IsFalse)
}

func TestOutlierIsLimited(t *testing.T) {
	c := qt.New(t)
	a := averager.New(averager.WithOutlier(2))
	a.Record("a", 100*time.Millisecond)
	a.Record("a", time.Hour)
	mean, _ := a.Mean("a")
	c.Assert(mean, qt.Equals, 105*time.Millisecond)
}
