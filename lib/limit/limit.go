package limit

// Limit is the set of limits on a request of a caller; a zero field means no limit.
type Limit struct {
	BodyBytes int64 `json:"body_bytes"`
	// HeadBytes and HeadTimeoutMS bound the size of a request's head and the time in which it must arrive.
	HeadBytes     int64 `json:"head_bytes,omitempty"`
	HeadTimeoutMS int64 `json:"head_timeout_ms,omitempty"`
	// Defect says why the limit cannot be read; requests with a body cannot be served then. It is empty otherwise.
	Defect string `json:"defect,omitempty"`
}
