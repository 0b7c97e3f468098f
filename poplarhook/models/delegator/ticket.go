package delegator

import "time"

// State is the state of a ticket.
type State int

// States of a ticket.
const (
	// Waiting means that the pool host has not answered yet.
	Waiting State = iota
	// Granted means that the request may run.
	Granted
	// OverQuota means that the workspace has used up its quota.
	OverQuota
	// Unanswered means that no pool host answered in time.
	Unanswered
	// Unknown means that the pool host does not know a quota of the workspace yet.
	Unknown
)

// Ticket is the demand of one request for a token.
type Ticket struct {
	workspace string
	state     State
	retry     time.Duration
	done      chan struct{}
}

// State returns the state; it must not be called while the Delegator may change it, before Done is closed.
func (t *Ticket) State() State {
	return t.state
}

// RetryAfter returns the time after which a refused request should be sent again.
func (t *Ticket) RetryAfter() time.Duration {
	return t.retry
}

// Done is closed once the ticket is decided.
func (t *Ticket) Done() <-chan struct{} {
	return t.done
}

func (t *Ticket) decide(s State, retry time.Duration) {
	t.state, t.retry = s, retry
	close(t.done)
}
