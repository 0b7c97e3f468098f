package outcome

import "time"

// Kinds of outcome.
const (
	// Served is a 2xx response with the complete answer, which echoes the id of the request.
	Served Kind = "served"
	// NotRun is a refusal that states that the request was not run.
	NotRun Kind = "not_run"
	// Unknown is a refusal that does not state whether the request was run.
	Unknown Kind = "unknown"
	// Broken is a transport failure: the caller received no answer or a truncated one.
	Broken Kind = "broken"
	// WrongAnswer is a 2xx response that does not echo the id of the request.
	WrongAnswer Kind = "wrong_answer"
)

// Kind classifies how a request ended.
type Kind string

// Outcome describes how one request ended, as its caller saw it.
type Outcome struct {
	RequestID string
	// Entry is the index of the request's entry in the scenario's mix.
	Entry int
	Kind  Kind
	// Intended is the scheduled send time, counted from the start of the run.
	Intended time.Duration
	// Latency is the time from the intended send time to the end of the answer.
	Latency time.Duration
	// IsLate is true if the load generator sent the request later than intended.
	IsLate bool
	// Resends is the number of times that the HTTP library resent the request on its own.
	Resends int
	// Detail is the reason why the request was not served.
	Detail string
}
