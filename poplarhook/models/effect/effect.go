package effect

import (
	"poplarhook.example/lib/binding"
	"poplarhook.example/lib/wire"
)

// Effect holds the actions that result from a decision about a group: requests to send, requests to refuse because they
// expired, and frames to send to other entry hosts.
type Effect struct {
	Bound   []binding.Binding
	Expired []uint64
	Frames  []Outgoing
}

// Outgoing is a frame and the entry host that it is for.
type Outgoing struct {
	To    string
	Frame *wire.Frame
}

// Add appends the actions of the other effect to those of this one.
func (e *Effect) Add(other Effect) {
	e.Bound = append(e.Bound, other.Bound...)
	e.Expired = append(e.Expired, other.Expired...)
	e.Frames = append(e.Frames, other.Frames...)
}

// Send appends a frame for an entry host.
func (e *Effect) Send(to string, frame *wire.Frame) {
	e.Frames = append(e.Frames, Outgoing{To: to, Frame: frame})
}
