package lender

import (
	"slices"
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/loan"
)

// endpoint is what the lender knows of one endpoint.
type endpoint struct {
	id    string
	limit int
	// most is the limit for rights that have waited for long.
	most int
	cold bool
	open bool
	// listed says that the capacities name the endpoint.
	listed bool
	// total is what all loans sum up to, orphaned what lost borrowers have of it.
	total     int
	orphaned  int
	lastGrant uint64
	warmedAt  time.Time
	// coldEnds is when the last cold credit can no longer be used.
	coldEnds time.Time
	// coldSince is when the endpoint was last found to have turned cold.
	coldSince time.Time
	loans     map[string]*lent
}

// lent is what one borrower has of the endpoint.
type lent struct {
	held          int
	orphaned      int
	orphanedUntil time.Time
}

func (e *endpoint) setCapacity(now time.Time, c capacity.Capacity) {
	if c.Cold && !e.cold {
		e.coldSince = now
	}
	e.limit = max(c.Limit, 0)
	e.most = max(c.Most, e.limit)
	e.cold = c.Cold
	e.open = c.Open
	e.listed = true
}

// unlist closes the endpoint until a capacity names it again.
func (e *endpoint) unlist() {
	e.limit = 0
	e.most = 0
	e.open = false
	e.listed = false
}

// isFree waits, after the endpoint has turned warm, until no cold credit is out that could meet it cold again.
func (e *endpoint) isFree(now time.Time) bool {
	if !e.cold && e.total > 0 && now.Before(e.coldEnds) {
		return false
	}
	return e.open && e.total < e.limit
}

// isFreeBeyond reports whether a warm endpoint has room for a right that has waited for long.
func (e *endpoint) isFreeBeyond(now time.Time) bool {
	return !e.cold && e.open && e.total < e.most && !now.Before(e.coldEnds)
}

func (e *endpoint) isOverLent() bool {
	return e.total > 0 && (!e.open || e.total > e.most)
}

func (e *endpoint) isUseless() bool {
	return !e.listed && e.total == 0
}

func (e *endpoint) loan(borrower string) *lent {
	n, ok := e.loans[borrower]
	if !ok {
		n = &lent{}
		e.loans[borrower] = n
	}
	return n
}

func (e *endpoint) lend(borrower string) {
	e.loan(borrower).held++
	e.total++
}

// release returns how many held credits came back; what exceeds the loans is ignored.
func (e *endpoint) release(borrower string, count int) int {
	n, ok := e.loans[borrower]
	if !ok {
		return 0
	}
	held := min(max(count, 0), n.held)
	orphaned := min(max(count, 0)-held, n.orphaned)
	n.held -= held
	n.orphaned -= orphaned
	e.total -= held + orphaned
	e.orphaned -= orphaned
	if e.total == 0 {
		// Every cold credit has come back, so none can meet the endpoint cold again.
		e.coldEnds = time.Time{}
	}
	e.drop(borrower, n)
	return held
}

// hold returns by how much the held credits of the borrower grow.
func (e *endpoint) hold(borrower string, count int) int {
	n := e.loan(borrower)
	grown := count - n.held
	e.total += grown - n.orphaned
	e.orphaned -= n.orphaned
	n.held = count
	n.orphaned = 0
	e.drop(borrower, n)
	return grown
}

func (e *endpoint) orphan(borrower string, until time.Time) {
	n, ok := e.loans[borrower]
	if !ok || n.held == 0 {
		return
	}
	e.orphaned += n.held
	n.orphaned += n.held
	n.held = 0
	if until.After(n.orphanedUntil) {
		n.orphanedUntil = until
	}
}

func (e *endpoint) freeOrphans(now time.Time) {
	if e.orphaned == 0 {
		return
	}
	for borrower, n := range e.loans {
		if n.orphaned > 0 && !now.Before(n.orphanedUntil) {
			e.total -= n.orphaned
			e.orphaned -= n.orphaned
			n.orphaned = 0
			e.drop(borrower, n)
		}
	}
}

func (e *endpoint) drop(borrower string, n *lent) {
	if n.held == 0 && n.orphaned == 0 {
		delete(e.loans, borrower)
	}
}

func (e *endpoint) rows() []loan.Loan {
	base := loan.Loan{Endpoint: e.id, Limit: e.limit, Cold: e.cold, Open: e.open}
	if len(e.loans) == 0 {
		return []loan.Loan{base}
	}
	borrowers := make([]string, 0, len(e.loans))
	for borrower := range e.loans {
		borrowers = append(borrowers, borrower)
	}
	slices.Sort(borrowers)
	rows := make([]loan.Loan, 0, len(borrowers))
	for _, borrower := range borrowers {
		n := e.loans[borrower]
		row := base
		row.Borrower = borrower
		row.Count = n.held
		if n.orphaned > 0 {
			row.Orphaned = n.orphaned
			row.OrphanedUntil = n.orphanedUntil
		}
		rows = append(rows, row)
	}
	return rows
}
