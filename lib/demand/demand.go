package demand

import "time"

// Urgencies of a demand. Demands of a higher urgency are granted first.
const (
	UrgencyLow = iota
	UrgencyNormal
	UrgencyHigh
)

// Demand requests Count rights, each to have one request in flight.
type Demand struct {
	Borrower string `json:"borrower"`
	// Sequence is the number of the first of the Count rights, starting at 1; the others have the numbers after it.
	Sequence uint64    `json:"sequence"`
	Count    int       `json:"count"`
	Until    time.Time `json:"until"`
	// Excluded is an endpoint that must not be granted; it is empty for none.
	Excluded string `json:"excluded,omitempty"`
	Urgency  int    `json:"urgency"`
}

// WithBorrower returns a copy with the given borrower.
func (d Demand) WithBorrower(borrower string) Demand {
	d.Borrower = borrower
	return d
}

// IsExpired reports whether the deadline has passed, so that no request waits for an answer any more.
func (d Demand) IsExpired(now time.Time) bool {
	return !now.Before(d.Until)
}
