package binding

import "time"

// Binding sends one waiting request to an endpoint.
type Binding struct {
	ID       uint64 `json:"id"`
	Endpoint string `json:"endpoint"`
	// Cold says that the endpoint is cold, so that the credit goes back after the request.
	Cold bool `json:"cold,omitempty"`
	// Until is the time from which no byte of the request may go out, zero for none.
	Until time.Time `json:"until,omitzero"`
}
