package accountant_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/accountant"
	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

type regions map[string]string

func (r regions) RegionOf(id string) (string, bool) {
	region, known := r[id]
	return region, known
}

func TestAccounts(t *testing.T) {
	mix := []scenario.Entry{{Name: "lookup"}, {Name: "order", OnceOnly: true, HomeRegions: []string{"pohja"}}}
	home := execution.Execution{RequestID: "r", EndpointID: "p1"}
	away := execution.Execution{RequestID: "r", EndpointID: "l1"}
	stray := execution.Execution{RequestID: "r", EndpointID: "unlisted"}
	other := execution.Execution{RequestID: "other", EndpointID: "p1"}
	table := []struct {
		name       string
		entry      int
		kind       outcome.Kind
		executions []execution.Execution
		want       result.Account
	}{
		{"served once", 1, outcome.Served, []execution.Execution{home, other}, result.Account{}},
		{"served and never run", 1, outcome.Served, []execution.Execution{other}, result.Account{Lost: 1}},
		{"order run twice", 1, outcome.Served, []execution.Execution{home, home, home}, result.Account{Doubled: 1}},
		{"broken order run twice", 1, outcome.Broken, []execution.Execution{home, home}, result.Account{Doubled: 1}},
		{"lookup run three times", 0, outcome.Served, []execution.Execution{home, away, away}, result.Account{ExtraExecutions: 2}},
		{"refusal that lies", 1, outcome.NotRun, []execution.Execution{home}, result.Account{FalseNotRun: 1}},
		{"refusal of a lookup that lies", 0, outcome.NotRun, []execution.Execution{home}, result.Account{FalseNotRun: 1}},
		{"unknown may be either", 1, outcome.Unknown, []execution.Execution{home}, result.Account{}},
		{"away from home", 1, outcome.Served, []execution.Execution{away}, result.Account{ServedAgainstClass: 1}},
		{"at an endpoint that is not listed", 1, outcome.Served, []execution.Execution{stray}, result.Account{ServedAgainstClass: 1}},
	}
	checker := accountant.New(mix, accountant.WithRegions(regions{"p1": "pohja", "l1": "louna"}))
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			seen := outcome.Outcome{RequestID: "r", Entry: row.entry, Kind: row.kind}
			accounts := checker.Accounts([]outcome.Outcome{seen}, row.executions)
			qt.Assert(t, accounts[row.entry], qt.Equals, row.want)
			qt.Assert(t, accounts[1-row.entry], qt.Equals, result.Account{})
		})
	}
}

func TestClasses(t *testing.T) {
	got := accountant.Classes([]execution.Execution{{Class: "b"}, {Class: "a"}, {Class: "b"}})
	qt.Assert(t, got, qt.DeepEquals, []result.ClassExecutions{{Class: "a", Executions: 1}, {Class: "b", Executions: 2}})
}
