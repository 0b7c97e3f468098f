package credit

import "time"

// Credit is the right of a borrower to have Count requests in flight at an endpoint.
type Credit struct {
	Borrower string `json:"borrower"`
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	// Sequence is the number of the first demanded right that the credit answers; the others have the numbers after it.
	Sequence uint64 `json:"sequence"`
	// Until is the time from which the credit must not be used; zero means no limit.
	Until time.Time `json:"until,omitzero"`
	// Cold says that the credit is for one request and is released after it.
	Cold bool `json:"cold,omitempty"`
	// Scarce says that other borrowers are waiting, so that the borrower must release its idle credits at once.
	Scarce bool `json:"scarce,omitempty"`
}

// WithScarce returns a copy with the given scarcity mark.
func (c Credit) WithScarce(scarce bool) Credit {
	c.Scarce = scarce
	return c
}

// IsExpired reports whether the credit must not be used any more.
func (c Credit) IsExpired(now time.Time) bool {
	return !c.Until.IsZero() && !now.Before(c.Until)
}
