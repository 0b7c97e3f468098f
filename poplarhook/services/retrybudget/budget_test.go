package retrybudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/budgeter"
	"poplarhook.example/poplarhook/services/retrybudget"
)

// spendRepeatedly tries to spend a hundred repeated requests for the service and returns how many are allowed.
func spendRepeatedly(a *retrybudget.Budget, now time.Time, service string) int {
	n := 0
	for range 100 {
		if a.Spend(now, service) {
			n++
		}
	}
	return n
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a := retrybudget.New(0.2, budgeter.WithMinimum(0))
	for range 100 {
		a.Record(now, "a")
	}
	c.Assert(spendRepeatedly(a, now, "a"), qt.Equals, 20)
	c.Assert(spendRepeatedly(a, now, "b"), qt.Equals, 0)
}

func TestSetMinimumAppliesToKnownAndNewServices(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a := retrybudget.New(0.2, budgeter.WithMinimum(0))
	c.Assert(spendRepeatedly(a, now, "a"), qt.Equals, 0)
	a.SetMinimum(3)
	a.SetMinimum(2)
	c.Assert(spendRepeatedly(a, now, "a"), qt.Equals, 2)
	c.Assert(spendRepeatedly(a, now, "b"), qt.Equals, 2,
		qt.Commentf("the minimum also applies to services first seen after it was set"))
	c.Assert(spendRepeatedly(a, now.Add(time.Minute), "a"), qt.Equals, 2)
}
