package host

import "time"

// Roles and states of a host in the platform's list.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is one host as the platform lists it.
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
	State            string `json:"state"`
	// HealthPath is where the endpoint answers health checks, empty for the default.
	HealthPath string `json:"health_path,omitempty"`
	// Capacity says how much an entry host bears in comparison with the others, zero when not declared.
	Capacity float64 `json:"capacity,omitempty"`
	// ColdUntil is when the endpoint stops being cold, zero when the platform does not say.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// ColdPerSecond is how many requests a second the endpoint bears while it is cold, zero when not declared.
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

// WithClock returns a copy whose times are of a clock that is ahead by the given time.
func (h Host) WithClock(ahead time.Duration) Host {
	if !h.ColdUntil.IsZero() {
		h.ColdUntil = h.ColdUntil.Add(ahead)
	}
	return h
}

// coldTolerance is how far two tellings of the end of coldness may lie apart and still be the same: each telling is
// late by the way of a heartbeat through the store.
const coldTolerance = 200 * time.Millisecond

// IsSame reports whether the other telling of a host says nothing new at the given time.
//
// An endpoint that is cold tells with each heartbeat how much longer; the end
// that this gives stays the same.
func (h Host) IsSame(now time.Time, other Host) bool {
	before, after := h.coldEnd(now), other.coldEnd(now)
	h.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return h == other && before.Sub(after).Abs() <= coldTolerance
}

// coldEnd returns when coldness ends, the present for a host that is not cold.
func (h Host) coldEnd(now time.Time) time.Time {
	if h.ColdUntil.Before(now) {
		return now
	}
	return h.ColdUntil
}
