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
	// Cold says that the request is sent only while ValidAt still agrees.
	Cold bool
	// SendBy is the time after which the right is lost, zero for none.
	SendBy time.Time
	// Alone says that the entry host bound the request without the owner.
	Alone bool
	// Free says that the request may also go out on a fresh connection though it was bound alone.
	Free bool
	// Class is the name of the request's class.
	Class string
	// Slowness is how long work took at the endpoint when it was chosen, 1 as usual and zero when not known.
	Slowness float64
	// Idle says that a slot was free when the endpoint was chosen.
	Idle bool
}

// ValidAt reports whether the request may still be sent.
func (b Binding) ValidAt(now time.Time) bool {
	return b.SendBy.IsZero() || now.Before(b.SendBy)
}
