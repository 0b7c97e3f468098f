package leasestep

import "time"

// Kinds of steps.
const (
	None  = "none"
	Read  = "read"
	Write = "write"
)

// Step is one call to the object store, or a time to wait.
type Step struct {
	Kind string
	// Value is the value that a write stores.
	Value []byte
	// IfVersion is the version that the object must have for a write to be applied, or 0 if the object must not exist.
	IfVersion int64
	// Wait is the time until the next step if there is no call to make now.
	Wait time.Duration
}
