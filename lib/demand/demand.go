package demand

import "time"

// Urgencies of a demand; a higher one is granted first.
const (
	UrgencyLow = iota
	UrgencyNormal
	UrgencyHigh
)

// Demand asks for the right to have Count requests in flight.
type Demand struct {
	Borrower string `json:"borrower"`
	// Sequence numbers the first of the Count rights, from 1; the others take the numbers that follow.
	Sequence uint64    `json:"sequence"`
	Count    int       `json:"count"`
	Until    time.Time `json:"until"`
	// Excluded is an endpoint that must not be granted, empty for none.
	Excluded string `json:"excluded,omitempty"`
	Urgency  int    `json:"urgency"`
}

// WithBorrower returns a copy that comes from the given borrower.
func (d Demand) WithBorrower(borrower string) Demand {
	d.Borrower = borrower
	return d
}

// IsExpired reports whether nobody waits for an answer any more.
func (d Demand) IsExpired(now time.Time) bool {
	return !now.Before(d.Until)
}
