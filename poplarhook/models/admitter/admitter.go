package admitter

import (
	"time"

	"poplarhook.example/poplarhook/models/requirement"
)

// Decision is the decision about a request.
type Decision int

const (
	// Send means that the request is sent to the best endpoint now.
	Send Decision = iota
	// Refuse means that the request is refused at once as not run.
	Refuse
)

// Case is what is known of a request and of the best endpoint for it. All durations count from now.
type Case struct {
	// Estimate is the expected time until the endpoint answers.
	Estimate time.Duration
	// Target is when the answer should arrive.
	Target time.Duration
	// Urgency is the urgency of the request, one of those of package requirement.
	Urgency int
	// HasFreeSlot is true when the endpoint has a free slot and no request waits there.
	HasFreeSlot bool
	// IsGuess is true when no service time of the class is known, so that the estimate shows little.
	IsGuess bool
	// QueueFull is true when so many requests wait at the endpoint that it should not get another one to queue.
	QueueFull bool
}

// The shares of the time to the target that an estimate may take, by urgency. The rest is a margin for endpoints that
// slow down during the request and for requests that other hosts send at the same time. Less urgent requests leave
// room at the end of the endpoints' queues for more urgent ones.
const (
	lowTargetShare    = 0.5
	normalTargetShare = 0.65
	highTargetShare   = 1
)

// Decide chooses the decision that lets the most callers get an answer before their targets.
//
// It answers loads from the capacity of the endpoints to several times that. An endpoint that queues requests beyond
// their targets makes the following requests late too. A request is therefore queued at an endpoint only if the answer
// is expected in time. Otherwise it is refused at once: a wait at the entry host ends well only if a slot becomes free
// before others take it, and costs its caller the time for another attempt.
func Decide(c Case) Decision {
	switch {
	case c.Estimate <= time.Duration(targetShare(c.Urgency)*float64(c.Target)) && !c.QueueFull:
		return Send
	case c.HasFreeSlot:
		return Send
	case c.IsGuess && !c.QueueFull:
		// It is not known that the answer would be late.
		return Send
	default:
		return Refuse
	}
}

func targetShare(urgency int) float64 {
	switch {
	case urgency >= requirement.High:
		return highTargetShare
	case urgency == requirement.Normal:
		return normalTargetShare
	default:
		return lowTargetShare
	}
}
