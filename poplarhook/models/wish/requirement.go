package wish

import (
	"time"

	"poplarhook.example/poplarhook/models/group"
)

// Urgencies of a request, in rising order.
const (
	Low = iota
	Normal
	High
)

// Wish holds the conditions of a request for the endpoint that it is bound to.
type Wish struct {
	// Groups are those that may serve the request, the preferred one first.
	Groups   []group.Group
	Until    time.Time
	Urgency  int
	OnceOnly bool
	// Excluded is the id of an endpoint that must not be bound, empty for none.
	Excluded string
	// Arrived is when the request arrived. It is zero where no caller waits for the request.
	Arrived time.Time
	// Target is when the caller should have the answer, zero for no target.
	Target time.Time
	// Class is the name of the request's class.
	Class string
	// Request is the id of the request, which is written to the log.
	Request string
}

// WithExcluded returns a copy that must not be bound to the given endpoint.
func (w Wish) WithExcluded(endpoint string) Wish {
	w.Excluded = endpoint
	return w
}

// WithUntil returns a copy with the given deadline, from which on the request is no longer bound.
func (w Wish) WithUntil(until time.Time) Wish {
	w.Until = until
	return w
}
