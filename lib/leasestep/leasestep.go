package leasestep

import "time"

// Kinds of a step.
const (
	None  = "none"
	Read  = "read"
	Write = "write"
)

// Step is one call to the store, or a time to wait.
type Step struct {
	Kind string
	// Value is what a write stores.
	Value []byte
	// IfVersion is the version that the object must have for a write to apply, 0 when it must be absent.
	IfVersion int64
	// Wait is the time until the next step when there is nothing to do.
	Wait time.Duration
}
