package limit

// Limit is the set of limits on a request of a caller; a zero field means no limit.
type Limit struct {
	BodyBytes int64 `json:"body_bytes"`
}
