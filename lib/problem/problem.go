package problem

import (
	"encoding/json"
	"net/http"

	"poplarhook.example/lib/violation"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Codes by which a client program recognizes why its request failed.
const (
	CodeInvalid        = "invalid"
	CodeConflict       = "conflict"
	CodeChangeIDUsed   = "change_id_used"
	CodeUnavailable    = "unavailable"
	CodeUnknownOutcome = "unknown_outcome"
	CodeUnauthorized   = "unauthorized"
	CodeForbidden      = "forbidden"
	CodeNotFound       = "not_found"
	CodeNoMethod       = "method_not_allowed"
	CodeTooLarge       = "too_large"
	CodeInternal       = "internal"
)

// Problem is one error response. It lists the violations if a configuration is invalid.
type Problem struct {
	Type       string                `json:"type"`
	Title      string                `json:"title"`
	Status     int                   `json:"status"`
	Detail     string                `json:"detail"`
	Code       string                `json:"code"`
	Violations []violation.Violation `json:"violations,omitempty"`
}

// New returns a problem with the given HTTP status, code and detail.
func New(status int, code, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Code: code}
}

// WithViolations returns a copy that lists the violations.
func (p Problem) WithViolations(list []violation.Violation) Problem {
	p.Violations = list
	return p
}

// Error returns the code and the detail.
func (p Problem) Error() string {
	return p.Code + ": " + p.Detail
}

// Write sends the problem as the response to a request.
func (p Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
