package outcome

import "time"

// Kinds of outcome.
const (
	// Served is a 2xx with the whole answer to the request's own id.
	Served Kind = "served"
	// NotRun is a refusal that promises that the request was not run.
	NotRun Kind = "not_run"
	// Unknown is a refusal that leaves open whether the request was run.
	Unknown Kind = "unknown"
	// Broken is a failure that the caller sees as one: no answer, or one that breaks off.
	Broken Kind = "broken"
	// WrongAnswer is a 2xx that does not echo the request's own id.
	WrongAnswer Kind = "wrong_answer"
)

// Kind says how a request ended.
type Kind string

// Outcome is what became of one request, as its caller saw it.
type Outcome struct {
	RequestID string
	// Entry is the place of the request's kind in the scenario's mix.
	Entry int
	Kind  Kind
	// Intended is when the schedule wanted the request sent, counted from the start.
	Intended time.Duration
	// Latency counts from the intended time to the end of the answer.
	Latency time.Duration
	// IsLate says that the generator itself sent the request late.
	IsLate bool
	// Resends counts the times that the HTTP library sent the request again by itself.
	Resends int
	// Detail says why the request was not served.
	Detail string
}
