package verdict_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/result"
	"poplarhook.example/tests/verdict"
)

func TestHasPassed(t *testing.T) {
	good := result.Result{Totals: result.Totals{Sent: 3, Served: 1, Unknown: 1, NotRun: 1}}
	bad := []result.Totals{
		{Sent: 1},
		{Served: 1, WrongAnswer: 1},
		{Served: 1, Discrepancies: result.Discrepancies{Lost: 1}},
		{Served: 1, Discrepancies: result.Discrepancies{Doubled: 1}},
		{Served: 1, Discrepancies: result.Discrepancies{FalseNotRun: 1}},
		{Served: 1, Discrepancies: result.Discrepancies{ServedAgainstClass: 1}},
	}
	qt.Assert(t, verdict.New(good).HasPassed(), qt.IsTrue)
	qt.Assert(t, verdict.New(good).WithFailure(errors.New("hung")).HasPassed(), qt.IsFalse)
	qt.Assert(t, verdict.New(good).WithZoneOutExecutions(1).HasPassed(), qt.IsFalse)
	for _, totals := range bad {
		qt.Assert(t, verdict.New(result.Result{Totals: totals}).HasPassed(), qt.IsFalse)
	}
}
