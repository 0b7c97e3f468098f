package job

import (
	"net/http"
	"net/url"
	"time"

	"poplarhook.example/lib/class"
)

// Job is one request of a caller, classified and read whole.
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

// WithUntil returns a copy whose answer is worthless after the given time.
func (j Job) WithUntil(until time.Time) Job {
	j.Until = until
	return j
}
