package limit

import "time"

// Limit is the set of bounds on one caller's requests and connections; a zero field sets no bound.
type Limit struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}
