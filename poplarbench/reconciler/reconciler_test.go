package reconciler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/reconciler"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

type regions map[string]string

func (r regions) RegionOf(id string) (string, bool) {
	region, known := r[id]
	return region, known
}

func TestDiscrepancies(t *testing.T) {
	mix := []scenario.Entry{{Name: "lookup"}, {Name: "order", OnceOnly: true, HomeRegions: []string{"pohja"}}}
	home := execution.Execution{RequestID: "r", EndpointID: "p1"}
	outside := execution.Execution{RequestID: "r", EndpointID: "l1"}
	unlisted := execution.Execution{RequestID: "r", EndpointID: "unlisted"}
	other := execution.Execution{RequestID: "other", EndpointID: "p1"}
	table := []struct {
		name       string
		entry      int
		kind       outcome.Kind
		executions []execution.Execution
		want       result.Discrepancies
	}{
		{"served once", 1, outcome.Served, []execution.Execution{home, other}, result.Discrepancies{}},
		{"served and never run", 1, outcome.Served, []execution.Execution{other}, result.Discrepancies{Lost: 1}},
		{"order run twice", 1, outcome.Served, []execution.Execution{home, home, home}, result.Discrepancies{Doubled: 1}},
		{"broken order run twice", 1, outcome.Broken, []execution.Execution{home, home}, result.Discrepancies{Doubled: 1}},
		{"lookup run three times", 0, outcome.Served, []execution.Execution{home, outside, outside}, result.Discrepancies{ExtraExecutions: 2}},
		{"false not_run refusal", 1, outcome.NotRun, []execution.Execution{home}, result.Discrepancies{FalseNotRun: 1}},
		{"false not_run refusal of a lookup", 0, outcome.NotRun, []execution.Execution{home}, result.Discrepancies{FalseNotRun: 1}},
		{"unknown outcome permits an execution", 1, outcome.Unknown, []execution.Execution{home}, result.Discrepancies{}},
		{"outside the home regions", 1, outcome.Served, []execution.Execution{outside}, result.Discrepancies{ServedAgainstClass: 1}},
		{"at an endpoint that is not listed", 1, outcome.Served, []execution.Execution{unlisted}, result.Discrepancies{ServedAgainstClass: 1}},
	}
	compared := reconciler.New(mix, reconciler.WithRegions(regions{"p1": "pohja", "l1": "louna"}))
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			observed := outcome.Outcome{RequestID: "r", Entry: row.entry, Kind: row.kind}
			discrepancies := compared.Reconcile([]outcome.Outcome{observed}, row.executions)
			qt.Assert(t, discrepancies[row.entry], qt.Equals, row.want)
			qt.Assert(t, discrepancies[1-row.entry], qt.Equals, result.Discrepancies{})
		})
	}
}

func TestCountByClass(t *testing.T) {
	got := reconciler.CountByClass([]execution.Execution{{Class: "b"}, {Class: "a"}, {Class: "b"}})
	qt.Assert(t, got, qt.DeepEquals, []result.ClassExecutions{{Class: "a", Executions: 1}, {Class: "b", Executions: 2}})
}
