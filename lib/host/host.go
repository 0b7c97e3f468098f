package host

import "time"

// Roles and states of a host in the platform's list.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is an entry host or an endpoint as the platform lists it.
type Host struct {
	ID               string `json:"id"`
	Role             string `json:"role"`
	Service          string `json:"service,omitempty"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	PeerAddress      string `json:"peer_address,omitempty"`
	AdminAddress     string `json:"admin_address,omitempty"`
	Slots            int    `json:"slots,omitempty"`
	Connections      int    `json:"connections,omitempty"`
	Incarnation      string `json:"incarnation,omitempty"`
	// Version is the version of the service that the endpoint runs; empty if the platform does not state it.
	Version string `json:"version,omitempty"`
	State   string `json:"state"`
	// HealthPath is the path of the health checks of the endpoint; empty means the default path.
	HealthPath string `json:"health_path,omitempty"`
	// Capacity is the capacity of an entry host relative to other entry hosts; zero if not declared.
	Capacity float64 `json:"capacity,omitempty"`
	// ColdUntil is when the endpoint stops being cold; zero if the platform does not state it.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// ColdPerSecond is how many requests per second the endpoint can serve while it is cold; zero if not declared.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
}

// IsLeaving reports whether the platform lists the host as leaving.
func (h Host) IsLeaving() bool {
	return h.State == StateLeaving
}

// WithState returns a copy in the given state.
func (h Host) WithState(state string) Host {
	h.State = state
	return h
}

// WithClockOffset returns a copy with its times converted to a clock that is ahead by the given duration.
func (h Host) WithClockOffset(ahead time.Duration) Host {
	if !h.ColdUntil.IsZero() {
		h.ColdUntil = h.ColdUntil.Add(ahead)
	}
	return h
}

// coldTolerance is how far two reported values of ColdUntil may differ and still count as equal: each report is
// delayed by the time that a heartbeat takes through the store.
const coldTolerance = 200 * time.Millisecond

// IsSame reports whether, at the given time, other differs from the host at most insignificantly.
//
// A cold endpoint sends the remaining cold time with each heartbeat, so the computed ColdUntil differs slightly between
// heartbeats.
func (h Host) IsSame(now time.Time, other Host) bool {
	before, after := h.computeColdEnd(now), other.computeColdEnd(now)
	h.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return h == other && before.Sub(after).Abs() <= coldTolerance
}

// computeColdEnd returns when the host stops being cold, or now if it is not cold.
func (h Host) computeColdEnd(now time.Time) time.Time {
	if h.ColdUntil.Before(now) {
		return now
	}
	return h.ColdUntil
}
