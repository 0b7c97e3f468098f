package limit

// Limit is the set of limits on a request of a caller; a zero field means no limit.
type Limit struct {
	BodyBytes int64 `json:"body_bytes"`
	// Defect says why the limit cannot be read; requests with a body cannot be served then. It is empty otherwise.
	Defect string `json:"defect,omitempty"`
}
