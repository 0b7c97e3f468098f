package job

import (
	"net/http"
	"net/url"
	"time"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/payload"
)

// Job is one request of a caller. Its class is known and its body has been read completely.
type Job struct {
	ID        string
	Team      string
	Class     class.Class
	Method    string
	URL       *url.URL
	Host      string
	Header    http.Header
	Body      payload.Payload
	ArrivedAt time.Time
	Deadline  time.Time
	// Workspace is the holder of the caller's key; it has no name if the request needs no key.
	Workspace workspace.Workspace
	// NeedsWorkspaceHeaders is true if the configuration declares workspaces: endpoints then get the name of the
	// workspace in place of the caller's key.
	NeedsWorkspaceHeaders bool
}

// WithDeadline returns a copy with the given deadline, after which an answer is of no use to the caller.
func (j Job) WithDeadline(until time.Time) Job {
	j.Deadline = until
	return j
}
