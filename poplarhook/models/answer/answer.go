package answer

import (
	"io"
	"net/http"
	"slices"
)

// Answer is the response of an endpoint. Its body is either complete or still being received.
type Answer struct {
	Status int
	Header http.Header
	// Start is the first part of the body.
	Start []byte
	// Rest reads the part of the body after Start, nil when Start is the whole body.
	Rest io.ReadCloser
	// Length is the body's length in bytes, negative when the endpoint declared none.
	Length int64
	// Attempts is how many times the request was sent.
	Attempts int
	releases []func()
}

// WithRelease returns a copy that also calls release when it is closed.
func (a Answer) WithRelease(release func()) *Answer {
	a.releases = append(slices.Clone(a.releases), release)
	return &a
}

// Close releases the endpoint's connection and calls the release functions of the request.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	for _, release := range a.releases {
		release()
	}
}
