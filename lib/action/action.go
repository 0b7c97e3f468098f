package action

import (
	"poplarhook.example/lib/binding"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/release"
)

// Action is the result of an event at a borrower: requests to send, messages for the owner and requests to refuse.
type Action struct {
	Bound    []binding.Binding
	Demands  []demand.Demand
	Releases []release.Release
	// Expired lists the requests whose deadline passed before they were bound.
	Expired []uint64
	// Refused lists the endpoints whose credits were released because this host knows them to be closed or cold. The
	// owner must be notified, because it would grant them again otherwise.
	Refused []string
}

// IsEmpty reports whether there is nothing to do.
func (a Action) IsEmpty() bool {
	return len(a.Bound) == 0 && len(a.Demands) == 0 && len(a.Releases) == 0 && len(a.Expired) == 0 &&
		len(a.Refused) == 0
}
