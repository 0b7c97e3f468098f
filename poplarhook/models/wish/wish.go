package wish

import (
	"time"

	"poplarhook.example/poplarhook/models/group"
)

// Urgencies in rising order.
const (
	Low = iota
	Normal
	High
)

// Wish is what a request asks of the endpoint it is bound to.
type Wish struct {
	// Groups may serve the request, the preferred one first.
	Groups   []group.Group
	Until    time.Time
	Urgency  int
	OnceOnly bool
	// Excluded is the id of an endpoint that must not be bound, empty for none.
	Excluded string
	// Arrived is when the request came, zero where nobody asks.
	Arrived time.Time
	// Target is when the answer should be with the caller, zero for no target.
	Target time.Time
	// Class is the name of the request's class.
	Class string
	// Request is the request's id, for the log.
	Request string
}

// WithExcluded returns a copy that must not be bound to the endpoint.
func (w Wish) WithExcluded(endpoint string) Wish {
	w.Excluded = endpoint
	return w
}

// WithUntil returns a copy that is not worth binding from the given time on.
func (w Wish) WithUntil(until time.Time) Wish {
	w.Until = until
	return w
}
