package job

import (
	"net/http"
	"net/url"
	"time"

	"poplarhook.example/lib/class"
)

// Job is one request of a caller. Its class is known and its body has been read completely.
type Job struct {
	ID      string
	Team    string
	Class   class.Class
	Method  string
	URL     *url.URL
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	Until   time.Time
}

// WithUntil returns a copy with the given deadline, after which an answer is of no use to the caller.
func (j Job) WithUntil(until time.Time) Job {
	j.Until = until
	return j
}
