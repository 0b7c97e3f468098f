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

// New returns a Budget that permits, for each service, repeated requests up to the given share of its recent
// requests. The options apply to the budget of each service.
func New(share float64, options ...budgeter.Option) *Budget {
	return &Budget{
		options: append([]budgeter.Option{budgeter.WithShare(share)}, options...),
		budgets: make(map[string]*budgeter.Budgeter),
	}
}

// budgetOf returns the budget of a service; the caller must hold the lock.
func (b *Budget) budgetOf(service string) *budgeter.Budgeter {
	budget, known := b.budgets[service]
	if !known {
		budget = budgeter.New(slices.Concat(b.options, b.minimum)...)
		b.budgets[service] = budget
	}
	return budget
}

// SetMinimum sets how many repeated requests each service may always send in a window, however few requests it
// gets.
func (b *Budget) SetMinimum(minimum int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minimum = []budgeter.Option{budgeter.WithMinimum(minimum)}
	for _, budget := range b.budgets {
		budgeter.WithMinimum(minimum)(budget)
	}
}

// Record counts a request for the service.
func (b *Budget) Record(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Record(now)
}

// Spend takes one repeated request from the service's budget and reports whether one was left.
func (b *Budget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Spend(now)
}
