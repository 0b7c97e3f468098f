package lender

import (
	"slices"
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/loan"
)

// endpoint is the state that the lender keeps for one endpoint.
type endpoint struct {
	id    string
	limit int
	// hardLimit is the limit for overdue rights and is at least limit.
	hardLimit int
	cold      bool
	open      bool
	// listed is true if the last set of capacities contains the endpoint.
	listed bool
	// lentTotal is the number of credits lent to all borrowers. It includes the orphaned credits, which were held by
	// borrowers that are lost.
	lentTotal int
	orphaned  int
	// lastGrantNumber is the value of the lender's grant counter at the last grant.
	lastGrantNumber uint64
	lastColdGrantAt time.Time
	// coldCreditsUntil is the time from which no cold credit of the endpoint can be used any more.
	coldCreditsUntil time.Time
	// coldSince is when a capacity last showed that the endpoint had become cold.
	coldSince time.Time
	loans     map[string]*lentCredits
}

// lentCredits counts the credits of the endpoint that are lent to one borrower.
type lentCredits struct {
	held          int
	orphaned      int
	orphanedUntil time.Time
}

func (e *endpoint) setCapacity(now time.Time, c capacity.Capacity) {
	if c.Cold && !e.cold {
		e.coldSince = now
	}
	e.limit = max(c.Limit, 0)
	e.hardLimit = max(c.HardLimit, e.limit)
	e.cold = c.Cold
	e.open = c.Open
	e.listed = true
}

// unlist closes the endpoint, so that it is not granted until a new capacity lists it again.
func (e *endpoint) unlist() {
	e.limit = 0
	e.hardLimit = 0
	e.open = false
	e.listed = false
}

// hasRoom reports whether the endpoint can be granted within its limit. After it became warm, it has no room until
// every cold credit has been returned or has expired, because a request on such a credit could find the endpoint cold
// again.
func (e *endpoint) hasRoom(now time.Time) bool {
	if !e.cold && e.lentTotal > 0 && now.Before(e.coldCreditsUntil) {
		return false
	}
	return e.open && e.lentTotal < e.limit
}

// hasOverLimitRoom reports whether a warm endpoint has room for an overdue right.
func (e *endpoint) hasOverLimitRoom(now time.Time) bool {
	return !e.cold && e.open && e.lentTotal < e.hardLimit && !now.Before(e.coldCreditsUntil)
}

// isOverLent reports whether credits above the hard limit, or any credits of a closed endpoint, are lent.
func (e *endpoint) isOverLent() bool {
	return e.lentTotal > 0 && (!e.open || e.lentTotal > e.hardLimit)
}

func (e *endpoint) isRemovable() bool {
	return !e.listed && e.lentTotal == 0
}

func (e *endpoint) lentTo(borrower string) *lentCredits {
	lent, ok := e.loans[borrower]
	if !ok {
		lent = &lentCredits{}
		e.loans[borrower] = lent
	}
	return lent
}

func (e *endpoint) lend(borrower string) {
	e.lentTo(borrower).held++
	e.lentTotal++
}

// release takes credits back and returns how many of them the borrower held; a count beyond its loans is ignored.
func (e *endpoint) release(borrower string, count int) int {
	lent, ok := e.loans[borrower]
	if !ok {
		return 0
	}
	held := min(max(count, 0), lent.held)
	orphaned := min(max(count, 0)-held, lent.orphaned)
	lent.held -= held
	lent.orphaned -= orphaned
	e.lentTotal -= held + orphaned
	e.orphaned -= orphaned
	if e.lentTotal == 0 {
		// Every cold credit has been returned, so no request on one can find the endpoint cold again.
		e.coldCreditsUntil = time.Time{}
	}
	e.dropIfEmpty(borrower, lent)
	return held
}

// setHeld sets how many credits the borrower holds and returns the change, negative for a decrease.
func (e *endpoint) setHeld(borrower string, count int) int {
	lent := e.lentTo(borrower)
	change := count - lent.held
	e.lentTotal += change - lent.orphaned
	e.orphaned -= lent.orphaned
	lent.held = count
	lent.orphaned = 0
	e.dropIfEmpty(borrower, lent)
	return change
}

func (e *endpoint) orphan(borrower string, until time.Time) {
	lent, ok := e.loans[borrower]
	if !ok || lent.held == 0 {
		return
	}
	e.orphaned += lent.held
	lent.orphaned += lent.held
	lent.held = 0
	if until.After(lent.orphanedUntil) {
		lent.orphanedUntil = until
	}
}

func (e *endpoint) expireOrphans(now time.Time) {
	if e.orphaned == 0 {
		return
	}
	for borrower, lent := range e.loans {
		if lent.orphaned > 0 && !now.Before(lent.orphanedUntil) {
			e.lentTotal -= lent.orphaned
			e.orphaned -= lent.orphaned
			lent.orphaned = 0
			e.dropIfEmpty(borrower, lent)
		}
	}
}

func (e *endpoint) dropIfEmpty(borrower string, lent *lentCredits) {
	if lent.held == 0 && lent.orphaned == 0 {
		delete(e.loans, borrower)
	}
}

func (e *endpoint) loanRows() []loan.Loan {
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
		lent := e.loans[borrower]
		row := base
		row.Borrower = borrower
		row.Count = lent.held
		if lent.orphaned > 0 {
			row.Orphaned = lent.orphaned
			row.OrphanedUntil = lent.orphanedUntil
		}
		rows = append(rows, row)
	}
	return rows
}
