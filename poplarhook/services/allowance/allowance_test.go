package allowance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/budgeter"
	"poplarhook.example/poplarhook/services/allowance"
)

// spent returns how many of a hundred repeats at the service are allowed.
func spent(a *allowance.Allowance, now time.Time, service string) int {
	n := 0
	for range 100 {
		if a.Spend(now, service) {
			n++
		}
	}
	return n
}

func TestEachServiceHasABudgetOfItsOwn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a := allowance.New(0.2, budgeter.WithMinimum(0))
	for range 100 {
		a.Record(now, "a")
	}
	c.Assert(spent(a, now, "a"), qt.Equals, 20)
	c.Assert(spent(a, now, "b"), qt.Equals, 0)
}

func TestTheMinimumMayChange(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a := allowance.New(0.2, budgeter.WithMinimum(0))
	c.Assert(spent(a, now, "a"), qt.Equals, 0)
	a.SetMinimum(3)
	a.SetMinimum(2)
	c.Assert(spent(a, now, "a"), qt.Equals, 2)
	c.Assert(spent(a, now, "b"), qt.Equals, 2, qt.Commentf("also for services that come later"))
	c.Assert(spent(a, now.Add(time.Minute), "a"), qt.Equals, 2)
}
