package binding

import "time"

// Binding assigns one waiting request to an endpoint.
type Binding struct {
	ID       uint64 `json:"id"`
	Endpoint string `json:"endpoint"`
	// Cold says that the endpoint is cold, so that the credit is released after the request.
	Cold bool `json:"cold,omitempty"`
	// Until is the time from which no byte of the request may be sent; zero means no limit.
	Until time.Time `json:"until,omitzero"`
}
