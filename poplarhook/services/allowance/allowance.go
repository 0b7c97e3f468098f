package allowance

import (
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/budgeter"
)

// Allowance is a budget of repeats for each service, safe for concurrent use.
type Allowance struct {
	options []budgeter.Option

	mu sync.Mutex
	// minimum is the option of SetMinimum, none before it is called.
	minimum []budgeter.Option
	budgets map[string]*budgeter.Budgeter
}

// New returns an Allowance of a share of the recent requests for each service.
func New(share float64, options ...budgeter.Option) *Allowance {
	return &Allowance{
		options: append([]budgeter.Option{budgeter.WithShare(share)}, options...),
		budgets: make(map[string]*budgeter.Budgeter),
	}
}

// of returns the budget of a service; the lock is held.
func (a *Allowance) of(service string) *budgeter.Budgeter {
	b, known := a.budgets[service]
	if !known {
		b = budgeter.New(slices.Concat(a.options, a.minimum)...)
		a.budgets[service] = b
	}
	return b
}

// SetMinimum sets how many repeats a service may get in a window however little work there is.
func (a *Allowance) SetMinimum(minimum int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.minimum = []budgeter.Option{budgeter.WithMinimum(minimum)}
	for _, b := range a.budgets {
		budgeter.WithMinimum(minimum)(b)
	}
}

// Record counts a request for the service.
func (a *Allowance) Record(now time.Time, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).Record(now)
}

// Spend takes one repeat at the service and reports whether there was one left.
func (a *Allowance) Spend(now time.Time, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(service).Spend(now)
}
