package loan

import "time"

// Loan is what one borrower has of one endpoint; a row without a borrower shows an endpoint of which nothing is lent.
type Loan struct {
	Endpoint string `json:"endpoint"`
	Limit    int    `json:"limit"`
	Cold     bool   `json:"cold"`
	Open     bool   `json:"open"`
	Borrower string `json:"borrower,omitempty"`
	// Count is how many credits the borrower holds.
	Count int `json:"count"`
	// Orphaned is how many credits a lost borrower held; they count as in flight until OrphanedUntil.
	Orphaned      int       `json:"orphaned,omitempty"`
	OrphanedUntil time.Time `json:"orphaned_until,omitzero"`
}
