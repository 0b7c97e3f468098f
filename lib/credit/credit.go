package credit

import "time"

// Credit is the right of a borrower to have Count requests in flight at an endpoint.
type Credit struct {
	Borrower string `json:"borrower"`
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	// Sequence numbers the first of the demanded rights that the credit answers; the others follow it.
	Sequence uint64 `json:"sequence"`
	// Until is the time from which the credit must not be used, zero for none.
	Until time.Time `json:"until,omitzero"`
	// Cold says that the credit is for one request and goes back after it.
	Cold bool `json:"cold,omitempty"`
	// Scarce says that other borrowers wait, so that idle credits go back at once.
	Scarce bool `json:"scarce,omitempty"`
}

// WithScarce returns a copy that says whether other borrowers wait.
func (c Credit) WithScarce(scarce bool) Credit {
	c.Scarce = scarce
	return c
}

// IsExpired reports whether the credit must not be used any more.
func (c Credit) IsExpired(now time.Time) bool {
	return !c.Until.IsZero() && !now.Before(c.Until)
}
