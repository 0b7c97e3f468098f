package rollout

import (
	"slices"
	"time"
)

// Order asks to move the traffic of a service to the endpoints of a version.
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// DurationMS is the time in which the order should be carried out, in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// Status and StatusTarget are what was last reported to the platform about the order, empty before.
	Status       string `json:"status,omitempty"`
	StatusTarget string `json:"status_target,omitempty"`
	// Revision is the revision of the order's object in the store. A report of the status raises it too.
	Revision int64 `json:"revision"`
}

// Duration returns the time in which the order should be carried out.
func (o Order) Duration() time.Duration {
	return time.Duration(o.DurationMS) * time.Millisecond
}

// WithStatus returns a copy with the reported status.
func (o Order) WithStatus(status string) Order {
	o.Status, o.StatusTarget = status, o.Target
	return o
}

// Status of an order as the platform knows it.
const (
	StatusRunning    = "running"
	StatusCompleted  = "completed"
	StatusRolledBack = "rolled_back"
)

// Phase is how far an order is carried out.
type Phase string

// Phases of an order.
const (
	// Trial sends a small share of the requests to the target version.
	Trial Phase = "trial"
	// Load sends a large share for a short time, within the same bound on the sum, to show faults that need load.
	Load Phase = "load"
	// Move sends all requests to the target version while hosts finish those at the old endpoints.
	Move Phase = "move"
	// Completed means that no host uses the old endpoints any more.
	Completed Phase = "completed"
	// RolledBack means that the target version gets no requests.
	RolledBack Phase = "rolled_back"
	// Dropped means that the order was removed before its end; the target version gets no requests.
	Dropped Phase = "dropped"
)

// IsActive reports whether the phase is one before the end of the order.
func (p Phase) IsActive() bool {
	return p == Trial || p == Load || p == Move
}

// State is how far the order of one service is carried out. It is kept in the store and written only under the condition
// that nobody else has written it since it was read.
type State struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// DurationMS repeats the duration of the order.
	DurationMS int64 `json:"duration_ms"`
	// OrderRevision is the revision of the order when its state was created.
	OrderRevision int64 `json:"order_revision"`
	Phase         Phase `json:"phase"`
	// Decider is the id of the entry host that decides. Term rises by one when another host takes over.
	Decider string `json:"decider"`
	Term    int64  `json:"term"`
	// Step rises with every write, so that hosts can tell the newer of two states.
	Step int64 `json:"step"`
	// Share is the share of requests that the target version gets at a time; Limit is the share that it may have got of
	// all requests since the order began. Both apply to each host on its own.
	Share float64 `json:"share"`
	Limit float64 `json:"limit"`
	// Credit is how many requests each host may send to the target version beyond its limit.
	Credit float64 `json:"credit,omitempty"`
	// StartedMS is when the order began and PhaseMS when the phase began, in Unix milliseconds of the decider's clock.
	StartedMS int64 `json:"started_ms"`
	PhaseMS   int64 `json:"phase_ms"`
	// Old are the versions that the order replaces.
	Old []string `json:"old,omitempty"`
	// Rejected are the versions that no order allows any more: those of orders that were rolled back or removed, and
	// those that a completed order replaced.
	Rejected []string `json:"rejected,omitempty"`
	// Reason says why the phase was entered.
	Reason string `json:"reason,omitempty"`
	// Revision is the revision of the state's object in the store, zero if it has none yet. It is not part of the object.
	Revision int64 `json:"revision,omitempty"`
}

// IsOpen reports whether the order is not yet reported as ended.
func (o Order) IsOpen() bool {
	return o.Status != StatusCompleted && o.Status != StatusRolledBack
}

// IsFor reports whether the state belongs to the order.
//
// A terminal state no longer belongs to an order that was written again, which shows in its empty status.
func (s State) IsFor(o Order) bool {
	if s.Service != o.Service || s.Target != o.Target || s.DurationMS != o.DurationMS {
		return false
	}
	isAgain := o.Status == "" && o.Revision > s.OrderRevision
	return s.Phase.IsActive() || s.Phase != Dropped && !isAgain
}

// IsNewerThan reports whether the state replaces the other one. The revision comes first, since steps go back when the
// store is restored from a copy.
func (s State) IsNewerThan(other State) bool {
	if s.Revision != other.Revision {
		return s.Revision > other.Revision
	}
	return s.Step > other.Step
}

// IsRejected reports whether no order allows the version.
func (s State) IsRejected(version string) bool {
	return slices.Contains(s.Rejected, version)
}

// Started returns when the order began.
func (s State) Started() time.Time {
	return time.UnixMilli(s.StartedMS)
}

// Duration returns the time in which the order should be carried out.
func (s State) Duration() time.Duration {
	return time.Duration(s.DurationMS) * time.Millisecond
}

// maxRejected bounds the list of rejected versions. Endpoints of a rejected version stop some seconds after the end of
// its order, so only the latest ones matter.
const maxRejected = 8

// WithRejected returns a copy that rejects the given versions too.
func (s State) WithRejected(versions ...string) State {
	rejected := slices.DeleteFunc(slices.Clone(s.Rejected), func(v string) bool { return slices.Contains(versions, v) })
	rejected = append(rejected, versions...)
	s.Rejected = rejected[max(len(rejected)-maxRejected, 0):]
	return s
}

// WithoutRejected returns a copy that does not reject the version.
func (s State) WithoutRejected(version string) State {
	s.Rejected = slices.DeleteFunc(slices.Clone(s.Rejected), func(v string) bool { return v == version })
	return s
}

// WithRevision returns a copy with the revision of its object.
func (s State) WithRevision(revision int64) State {
	s.Revision = revision
	return s
}
