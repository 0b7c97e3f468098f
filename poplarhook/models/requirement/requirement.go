package requirement

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

// Requirement holds the conditions of a request for the endpoint that it is bound to.
type Requirement struct {
	// Groups are those that may serve the request, the preferred one first.
	Groups   []group.Group
	Deadline time.Time
	Urgency  int
	OnceOnly bool
	// Excluded is the id of an endpoint that must not be bound, empty for none.
	Excluded string
	// Repeats is true for a hedge or a retry of an idempotent request, whose work may be under way at another endpoint.
	Repeats bool
	// ArrivedAt is when the request arrived. It is zero where no caller waits for the request.
	ArrivedAt time.Time
	// Target is when the caller should have the answer, zero for no target.
	Target time.Time
	// Class is the name of the request's class.
	Class string
	// RequestID is the id of the request, which is written to the log.
	RequestID string
	// Admits reports whether an endpoint of the version may be bound; nil admits every version.
	Admits func(version string) bool
}

// AdmitsVersion reports whether an endpoint of the version may be bound.
func (r Requirement) AdmitsVersion(version string) bool {
	return r.Admits == nil || r.Admits(version)
}

// WithAdmits returns a copy that may be bound to endpoints of the versions that admits reports.
func (r Requirement) WithAdmits(admits func(version string) bool) Requirement {
	r.Admits = admits
	return r
}

// WithExcluded returns a copy that must not be bound to the given endpoint.
func (r Requirement) WithExcluded(endpoint string) Requirement {
	r.Excluded = endpoint
	return r
}

// WithRepeats returns a copy for a hedge or a retry of an idempotent request.
func (r Requirement) WithRepeats() Requirement {
	r.Repeats = true
	return r
}

// WithDeadline returns a copy with the given deadline, from which on the request is no longer bound.
func (r Requirement) WithDeadline(until time.Time) Requirement {
	r.Deadline = until
	return r
}
