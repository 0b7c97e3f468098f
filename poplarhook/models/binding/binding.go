package binding

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/group"
)

// Binding is the right to send one request to an endpoint.
type Binding struct {
	Group    group.Group
	Endpoint host.Host
	// Cold is true when the endpoint is cold: the request may then be sent only while ValidAt returns true.
	Cold bool
	// SendBy is the time at which the binding expires, zero if it does not expire.
	SendBy time.Time
	// Local is true when the entry host bound the request locally, without the group's owner.
	Local bool
	// AllowNewConnection is true when a locally bound request may also be sent on a new connection.
	AllowNewConnection bool
	// Class is the name of the request's class.
	Class string
	// SlowFactor is the slow factor of the endpoint when it was chosen: 1 is the usual speed, 2 takes twice as long,
	// zero is unknown.
	SlowFactor float64
	// HadFreeSlot is true when the endpoint had a free slot at the time it was chosen.
	HadFreeSlot bool
}

// ValidAt reports whether the request may still be sent at the given time.
func (b Binding) ValidAt(now time.Time) bool {
	return b.SendBy.IsZero() || now.Before(b.SendBy)
}
