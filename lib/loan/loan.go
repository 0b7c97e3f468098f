package loan

import "time"

// Loan describes the credits that one borrower has for one endpoint. A Loan without a borrower represents an endpoint
// without loans.
type Loan struct {
	Endpoint string `json:"endpoint"`
	Limit    int    `json:"limit"`
	Cold     bool   `json:"cold"`
	Open     bool   `json:"open"`
	Borrower string `json:"borrower,omitempty"`
	// Count is the number of credits that the borrower holds.
	Count int `json:"count"`
	// Orphaned is the number of credits that the borrower held when it was lost; they count as in flight until
	// OrphanedUntil.
	Orphaned      int       `json:"orphaned,omitempty"`
	OrphanedUntil time.Time `json:"orphaned_until,omitzero"`
}
