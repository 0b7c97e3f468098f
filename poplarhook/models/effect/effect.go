package effect

import (
	"poplarhook.example/lib/binding"
	"poplarhook.example/lib/wire"
)

// Effect is what a decision about a group wants done: requests to send or refuse, and frames for other entry hosts.
type Effect struct {
	Bound   []binding.Binding
	Expired []uint64
	Frames  []Outgoing
}

// Outgoing is one frame for one entry host.
type Outgoing struct {
	To    string
	Frame *wire.Frame
}

// Add appends what another effect wants done.
func (e *Effect) Add(other Effect) {
	e.Bound = append(e.Bound, other.Bound...)
	e.Expired = append(e.Expired, other.Expired...)
	e.Frames = append(e.Frames, other.Frames...)
}

// Send appends a frame for an entry host.
func (e *Effect) Send(to string, frame *wire.Frame) {
	e.Frames = append(e.Frames, Outgoing{To: to, Frame: frame})
}
