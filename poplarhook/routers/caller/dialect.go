package caller

import (
	"net/http"
	"strconv"
	"time"
)

// ownDialect uses Poplarhook's own request id header, the timeout header of the gRPC protocol and retry times in whole
// seconds.
type ownDialect struct{}

// RequestIDHeader returns the name of the header with the request id.
func (ownDialect) RequestIDHeader() string {
	return HeaderRequestID
}

// RequestID returns the request id that the caller sent, or an empty string if there is none.
func (ownDialect) RequestID(header http.Header) string {
	return header.Get(HeaderRequestID)
}

// Deadline returns how long the caller waits for the answer, and whether the header has a valid value.
func (ownDialect) Deadline(header http.Header) (time.Duration, bool) {
	return parseTimeout(header.Get(HeaderTimeout))
}

// SetRequestID sets the header with the request id on an answer, unless the id is empty.
func (ownDialect) SetRequestID(header http.Header, id string) {
	if id != "" {
		header.Set(HeaderRequestID, id)
	}
}

// RetryAfter returns the wait time rounded up to whole seconds.
func (ownDialect) RetryAfter(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.Itoa(int(seconds))
}

// Keys returns no keys, since Poplarhook's own headers have none.
func (ownDialect) Keys(http.Header) []string {
	return nil
}
