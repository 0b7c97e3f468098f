package allowance

import (
	"sync"
	"time"

	"poplarhook.example/lib/budgeter"
)

// Allowance is a budget of second tries, safe for concurrent use.
type Allowance struct {
	mu     sync.Mutex
	budget *budgeter.Budgeter
}

// New returns an Allowance of a share of recent requests.
func New(share float64) *Allowance {
	return &Allowance{budget: budgeter.New(budgeter.WithShare(share))}
}

// Record counts a request.
func (a *Allowance) Record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Record(now)
}

// Spend takes one second try and reports whether there was one left.
func (a *Allowance) Spend(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Spend(now)
}
