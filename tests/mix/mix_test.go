package mix_test

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/mix"
)

// Each kind of request in a mix has the name of a class of the deployment and agrees with that class in method, path,
// execution, home regions and deadline.
func TestMixesMatchDeploymentClasses(t *testing.T) {
	table := []struct {
		name       string
		deployment deployment.Deployment
		entries    []scenario.Entry
	}{
		{"kite", deployment.Kite(), mix.Kite()},
		{"brandstaetter", deployment.Brandstaetter(), mix.Brandstaetter()},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			load := scenario.Scenario{DurationMS: 1, RatePerS: 1, Arrivals: scenario.Poisson, Mix: row.entries}
			c.Assert(load.Check(), qt.IsNil)
			c.Assert(row.entries, qt.HasLen, len(row.deployment.Document.Classes))
			for i, entry := range row.entries {
				declared := row.deployment.Document.Classes[i]
				c.Assert(entry.Name, qt.Equals, declared.Name)
				c.Assert(slices.Contains(declared.Methods, entry.Method), qt.IsTrue)
				c.Assert(strings.HasPrefix(entry.Path, declared.PathPrefix), qt.IsTrue)
				c.Assert(entry.OnceOnly, qt.Equals, declared.Execution == class.OnceOnly)
				c.Assert(entry.HomeRegions, qt.DeepEquals, declared.HomeRegions)
				c.Assert(entry.DeadlineMS, qt.Equals, declared.DeadlineMS)
			}
		})
	}
}
