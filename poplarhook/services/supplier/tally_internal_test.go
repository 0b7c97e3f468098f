package supplier

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestChangesMustAddUpToTheRevision(t *testing.T) {
	c := qt.New(t)
	var one tally
	c.Assert(one.isBehind(100), qt.IsFalse, qt.Commentf("nothing is listed yet"))
	for range watchedKinds {
		one.listed(7)
	}
	c.Assert(one.isBehind(7), qt.IsFalse)
	one.changed(2)
	c.Assert(one.isBehind(9), qt.IsFalse)
	c.Assert(one.isBehind(10), qt.IsTrue, qt.Commentf("a change that no watch brought"))
	one.reset()
	c.Assert(one.isBehind(10), qt.IsFalse)
}

// A change of the first kind between its list and the last one may be missed by its watch.
func TestAChangeBetweenTwoListsIsNotTakenForKnown(t *testing.T) {
	c := qt.New(t)
	var one tally
	one.listed(7)
	one.listed(8)
	one.listed(8)
	c.Assert(one.isBehind(8), qt.IsTrue)
}

// A zone that was taken out before everything was listed is in the base already.
func TestAReadingCountsOnlyWhatCameAfterTheLists(t *testing.T) {
	c := qt.New(t)
	var one tally
	for range watchedKinds {
		one.listed(7)
	}
	one.read(1)
	c.Assert(one.accounted(), qt.Equals, int64(7))
	one.read(1)
	c.Assert(one.accounted(), qt.Equals, int64(8))
}
