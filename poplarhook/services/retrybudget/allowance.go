package retrybudget

import (
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/budgeter"
)

// Budget is a budget of repeated requests for each service; it is safe for concurrent use.
type Budget struct {
	options []budgeter.Option

	mu sync.Mutex
	// minimum holds the option that SetMinimum sets; it is empty before the first call.
	minimum []budgeter.Option
	budgets map[string]*budgeter.Budgeter
}

// New returns an Allowance that permits, for each service, repeated requests up to the given share of its recent
// requests. The options apply to the budget of each service.
func New(share float64, options ...budgeter.Option) *Budget {
	return &Budget{
		options: append([]budgeter.Option{budgeter.WithShare(share)}, options...),
		budgets: make(map[string]*budgeter.Budgeter),
	}
}

// budgetOf returns the budget of a service; the caller must hold the lock.
func (a *Budget) budgetOf(service string) *budgeter.Budgeter {
	b, known := a.budgets[service]
	if !known {
		b = budgeter.New(slices.Concat(a.options, a.minimum)...)
		a.budgets[service] = b
	}
	return b
}

// SetMinimum sets how many repeated requests each service may always send in a window, however few requests it
// gets.
func (a *Budget) SetMinimum(minimum int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.minimum = []budgeter.Option{budgeter.WithMinimum(minimum)}
	for _, b := range a.budgets {
		budgeter.WithMinimum(minimum)(b)
	}
}

// Record counts a request for the service.
func (a *Budget) Record(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budgetOf(service).Record(now)
}

// Spend takes one repeated request from the service's budget and reports whether one was left.
func (a *Budget) Spend(now time.Time, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budgetOf(service).Spend(now)
}
