package token

// Ask is one message of a host to a pool host. Every Ask is answered by one Reply, in order.
type Ask struct {
	// Echo is the newest clock value of the pool host that the asking host received on this stream. It delegates the
	// host's share of every quota until Delegation after that value; zero delegates nothing.
	Echo int64 `json:"echo,omitempty"`
	// Lend is a clock value too. It lends one part of the asking host's share of the start allowance, until a time that
	// the pool host counts from that value; zero lends nothing.
	Lend int64 `json:"lend,omitempty"`
	// Hosts is the number of entry hosts that the asking host knows.
	Hosts int `json:"hosts,omitempty"`
	// Want is the number of tokens for waiting requests and Spare that for expected ones, by workspace.
	Want  map[string]int `json:"want,omitempty"`
	Spare map[string]int `json:"spare,omitempty"`
	// Back is the number of unused tokens that the host returns.
	Back map[string]int `json:"back,omitempty"`
	// Held is the number of requests that were refused without asking, by workspace.
	Held map[string]int `json:"held,omitempty"`
	// Declare has the quotas of workspaces that the pool host's configuration does not contain.
	Declare map[string]Quota `json:"declare,omitempty"`
	// Leave ends the delegation; the reply confirms it.
	Leave bool `json:"leave,omitempty"`
}

// Quota is the quota of one workspace over all hosts.
type Quota struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
}

// Reply is the answer to an Ask. The first Reply of a stream answers no Ask and carries only the clock.
type Reply struct {
	// Clock is the pool host's time in milliseconds; zero if the host needs no newer one.
	Clock int64 `json:"clock,omitempty"`
	// Grant is the number of tokens granted, by workspace.
	Grant map[string]int `json:"grant,omitempty"`
	// Refuse has an entry for each workspace of which not all wanted tokens were granted.
	Refuse map[string]Refusal `json:"refuse,omitempty"`
	// Left states that the delegation of the host has ended. A pool host that stops sends it without being asked.
	Left bool `json:"left,omitempty"`
	// Better is the id of a pool host of higher rank that the answering host uses itself.
	Better string `json:"better,omitempty"`
}

// Refusal says why and for how long tokens of a workspace are refused.
type Refusal struct {
	// Unknown is true if the pool host's configuration has no quota for the workspace. The host then declares it, as its
	// own configuration may be newer.
	Unknown bool `json:"unknown,omitempty"`
	// Starting is true if the pool host has too few shares yet to say that the quota is used up. The requests go on waiting.
	Starting bool `json:"starting,omitempty"`
	// RetryMS is after how many milliseconds the first refused request should be sent again, and StepMS the distance
	// between the times of those refused together.
	RetryMS int64   `json:"retry_ms,omitempty"`
	StepMS  float64 `json:"step_ms,omitempty"`
	// HoldMS is for how many milliseconds the host should refuse without asking.
	HoldMS int64 `json:"hold_ms,omitempty"`
}
