package reconciler

import (
	"slices"
	"strings"

	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

// Regions looks up the region of an endpoint.
type Regions interface {
	RegionOf(endpointID string) (string, bool)
}

// Option configures a Reconciler.
type Option func(*Reconciler)

// Reconciler compares the outcomes that callers saw with the executions that endpoints recorded.
type Reconciler struct {
	mix     []scenario.Entry
	regions Regions
}

// New returns a Reconciler for the mix of a scenario.
func New(mix []scenario.Entry, options ...Option) *Reconciler {
	a := &Reconciler{mix: mix}
	for _, option := range options {
		option(a)
	}
	return a
}

// WithRegions sets the regions of endpoints, by which home regions are checked. Without it they are not checked.
func WithRegions(regions Regions) Option {
	return func(r *Reconciler) {
		r.regions = regions
	}
}

// Reconcile returns the discrepancies of each entry of the mix.
func (r *Reconciler) Reconcile(outcomes []outcome.Outcome, executions []execution.Execution) []result.Discrepancies {
	byID := make(map[string][]execution.Execution, len(outcomes))
	for _, e := range executions {
		byID[e.RequestID] = append(byID[e.RequestID], e)
	}
	discrepancies := make([]result.Discrepancies, len(r.mix))
	for _, o := range outcomes {
		discrepancies[o.Entry] = discrepancies[o.Entry].Plus(r.findDiscrepancies(o, byID[o.RequestID]))
	}
	return discrepancies
}

// CountByClass counts the executions of each class, sorted by class.
func CountByClass(executions []execution.Execution) []result.ClassExecutions {
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

// findDiscrepancies returns the discrepancies between the outcome of one request and its executions.
func (r *Reconciler) findDiscrepancies(o outcome.Outcome, executions []execution.Execution) result.Discrepancies {
	var discrepancies result.Discrepancies
	entry := r.mix[o.Entry]
	if o.Kind == outcome.Served && len(executions) == 0 {
		discrepancies.Lost = 1
	}
	if o.Kind == outcome.NotRun && len(executions) > 0 {
		discrepancies.FalseNotRun = 1
	}
	if len(executions) > 1 {
		if entry.OnceOnly {
			discrepancies.Doubled = 1
		} else {
			discrepancies.ExtraExecutions = int64(len(executions) - 1)
		}
	}
	if slices.ContainsFunc(executions, func(e execution.Execution) bool { return r.isOutsideHomeRegions(entry, e) }) {
		discrepancies.ServedAgainstClass = 1
	}
	return discrepancies
}

// isOutsideHomeRegions reports whether the execution took place outside the home regions of the entry. An endpoint of
// unknown region counts as outside.
func (r *Reconciler) isOutsideHomeRegions(entry scenario.Entry, e execution.Execution) bool {
	if r.regions == nil || len(entry.HomeRegions) == 0 {
		return false
	}
	region, known := r.regions.RegionOf(e.EndpointID)
	return !known || !slices.Contains(entry.HomeRegions, region)
}
