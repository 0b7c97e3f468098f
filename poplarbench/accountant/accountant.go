package accountant

import (
	"slices"
	"strings"

	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

// Regions tells in which region an endpoint stands.
type Regions interface {
	RegionOf(endpointID string) (string, bool)
}

// Option changes an accountant under construction.
type Option func(*Accountant)

// Accountant compares what callers were told with what endpoints executed.
type Accountant struct {
	mix     []scenario.Entry
	regions Regions
}

// New returns an accountant of a scenario's mix.
func New(mix []scenario.Entry, options ...Option) *Accountant {
	accountant := &Accountant{mix: mix}
	for _, option := range options {
		option(accountant)
	}
	return accountant
}

// WithRegions lets the accountant check home regions; without it they stay unchecked.
func WithRegions(regions Regions) Option {
	return func(a *Accountant) {
		a.regions = regions
	}
}

// Accounts returns the account of each entry of the mix.
func (a *Accountant) Accounts(outcomes []outcome.Outcome, executions []execution.Execution) []result.Account {
	byID := make(map[string][]execution.Execution, len(outcomes))
	for _, e := range executions {
		byID[e.RequestID] = append(byID[e.RequestID], e)
	}
	accounts := make([]result.Account, len(a.mix))
	for _, o := range outcomes {
		accounts[o.Entry] = accounts[o.Entry].Plus(a.account(o, byID[o.RequestID]))
	}
	return accounts
}

// Classes counts the executions of each class, sorted by class.
func Classes(executions []execution.Execution) []result.ClassExecutions {
	var classes []result.ClassExecutions
	for _, e := range executions {
		i, found := slices.BinarySearchFunc(classes, e.Class, func(c result.ClassExecutions, name string) int {
			return strings.Compare(c.Class, name)
		})
		if !found {
			classes = slices.Insert(classes, i, result.ClassExecutions{Class: e.Class})
		}
		classes[i].Executions++
	}
	return classes
}

func (a *Accountant) account(o outcome.Outcome, executions []execution.Execution) result.Account {
	var account result.Account
	entry := a.mix[o.Entry]
	if o.Kind == outcome.Served && len(executions) == 0 {
		account.Lost = 1
	}
	if o.Kind == outcome.NotRun && len(executions) > 0 {
		account.FalseNotRun = 1
	}
	if len(executions) > 1 {
		if entry.OnceOnly {
			account.Doubled = 1
		} else {
			account.ExtraExecutions = int64(len(executions) - 1)
		}
	}
	if slices.ContainsFunc(executions, func(e execution.Execution) bool { return a.isAway(entry, e) }) {
		account.ServedAgainstClass = 1
	}
	return account
}

// isAway reports an execution outside the home regions; an endpoint that no list names counts as away.
func (a *Accountant) isAway(entry scenario.Entry, e execution.Execution) bool {
	if a.regions == nil || len(entry.HomeRegions) == 0 {
		return false
	}
	region, known := a.regions.RegionOf(e.EndpointID)
	return !known || !slices.Contains(entry.HomeRegions, region)
}
