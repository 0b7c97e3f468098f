package limit

// Limit is the set of bounds on one caller's requests; a zero field sets no bound.
type Limit struct {
	BodyBytes int64 `json:"body_bytes"`
}
