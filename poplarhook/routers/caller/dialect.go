package caller

import (
	"net/http"
	"strconv"
	"time"
)

// ownDialect is the product's own: an id, the deadline header of the gRPC protocol and whole seconds.
type ownDialect struct{}

// RequestID returns the id that the caller gave.
func (ownDialect) RequestID(header http.Header) string {
	return header.Get(HeaderRequestID)
}

// Deadline returns how long the caller waits and whether it says so.
func (ownDialect) Deadline(header http.Header) (time.Duration, bool) {
	return deadlineOf(header.Get(HeaderTimeout))
}

// Mark names the request in an answer.
func (ownDialect) Mark(header http.Header, id string) {
	if id != "" {
		header.Set(HeaderRequestID, id)
	}
}

// RetryAfter rounds the wait up to whole seconds.
func (ownDialect) RetryAfter(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.Itoa(int(seconds))
}
