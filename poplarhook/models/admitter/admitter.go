package admitter

import "time"

// Decision is the decision about a request.
type Decision int

const (
	// Send means that the request is sent to the best endpoint now.
	Send Decision = iota
	// Wait means that the request waits at the entry host and a new decision is made after a short pause.
	Wait
	// Refuse means that the request is refused at once as not run.
	Refuse
)

// Case is what is known of a request and of the best endpoint for it. All durations count from now.
type Case struct {
	// Estimate is the expected time until the endpoint answers.
	Estimate time.Duration
	// ServiceTime is the usual service time at an endpoint with a free slot.
	ServiceTime time.Duration
	// Target is when the answer should arrive; after Deadline it is of no use to the caller.
	Target   time.Duration
	Deadline time.Duration
	// HasFreeSlot is true when the endpoint has a free slot and no request waits there.
	HasFreeSlot bool
	// QueueFull is true when so many requests wait at the endpoint that it should not get another one to queue.
	QueueFull bool
}

// maxTargetShare is the share of the time to the target that an estimate may take. The rest is a margin for endpoints
// that slow down during the request.
const maxTargetShare = 0.9

// Decide chooses the decision that lets the most callers get an answer before their targets.
//
// Under overload, an endpoint that queues requests beyond their targets makes
// the following requests late too. A request is therefore queued at an endpoint
// only if the answer is expected in time. Otherwise it waits at the entry host
// for a free slot, as long as it could still be answered in time then.
func Decide(c Case) Decision {
	switch {
	case c.Estimate <= time.Duration(maxTargetShare*float64(c.Target)) && !c.QueueFull:
		return Send
	case c.HasFreeSlot:
		return Send
	case c.ServiceTime < c.Target:
		return Wait
	case c.Estimate > c.Deadline:
		return Refuse
	default:
		return Refuse
	}
}
