package admitter

import "time"

// Verdict is what becomes of a request.
type Verdict int

const (
	// Send sends the request to the best endpoint now.
	Send Verdict = iota
	// Wait looks again soon.
	Wait
	// Refuse tells the caller at once that the request was not run.
	Refuse
)

// Case is what is known of a request and of the best endpoint for it; times are from now on.
type Case struct {
	// Estimate is how long the endpoint should take for the answer.
	Estimate time.Duration
	// Work is how long an endpoint with a free slot and the usual speed takes.
	Work time.Duration
	// Target and Deadline are when the answer should come and when it is worthless.
	Target   time.Duration
	Deadline time.Duration
	// Free says that the endpoint has a free slot and nobody waits there.
	Free bool
	// Full says that the endpoint should not be given more to queue.
	Full bool
}

// punctual is the share of the time to the target that an estimate may fill: endpoints turn slow while they work.
const punctual = 0.9

// Judge decides by what serves most callers before their targets.
//
// While there is more work than room, an endpoint that queues requests beyond
// their targets makes the next ones late too. So a request is queued at an
// endpoint only if it should be answered in time; else it waits here for a free
// slot as long as that would still make it punctual.
func Judge(c Case) Verdict {
	switch {
	case c.Estimate <= time.Duration(punctual*float64(c.Target)) && !c.Full:
		return Send
	case c.Free:
		return Send
	case c.Work < c.Target:
		return Wait
	case c.Estimate > c.Deadline:
		return Refuse
	default:
		return Refuse
	}
}
