package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/directory"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/modules/exchanger"
)

// Dialect reads and writes the platform's headers.
type Dialect interface {
	RequestID(header http.Header) string
	Deadline(header http.Header) (time.Duration, bool)
	Mark(header http.Header, id string)
	RetryAfter(wait time.Duration) string
	Encode(message *http.Request, endpoint host.Host, j job.Job, left time.Duration)
	Report(j job.Job, response *http.Response) report.Report
	Refuses(response *http.Response, body []byte) bool
}

// directoryOf arranges the listed endpoints with what the configuration says of their services.
func directoryOf(revision int64, used map[string]host.Host, s snapshot.Snapshot) *directory.Directory {
	hosts := make([]host.Host, 0, len(used))
	for _, h := range used {
		if declared, known := s.Service(h.Service); known {
			h.HealthPath = declared.HealthPath
			h.Connections = declared.Connections
			h.ColdPerSecond = declared.ColdPerSecond
		}
		hosts = append(hosts, h)
	}
	return directory.New(revision, hosts)
}

// asker looks at endpoints by their health checks.
type asker struct{ gateway *Gateway }

// defaultHealthPath is asked where the configuration names none.
const defaultHealthPath = "/health"

// againWithin is how quickly a look must have failed to be tried again on a fresh connection.
const againWithin = 60 * time.Millisecond

// maxHealthBytes is how much of the answer to a health check is read.
const maxHealthBytes = 4096

// Ask returns what the endpoint says of itself, with an error if it gave no answer.
func (a asker) Ask(ctx context.Context, endpoint host.Host) report.Report {
	g := a.gateway
	path := endpoint.HealthPath
	if path == "" {
		path = defaultHealthPath
	}
	j := job.Job{
		Class:  class.Class{Name: "look", Execution: class.Idempotent},
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Until:  g.clock().Add(time.Second),
	}
	askedAt := g.clock()
	response, err := g.sender.Send(ctx, binding.Binding{Endpoint: endpoint}, j)
	if errors.Is(err, exchanger.ErrBroken) && g.clock().Sub(askedAt) < againWithin {
		// The endpoint may have forgotten the idle connection; a class that may not be repeated asks for a fresh one.
		j.Class.Execution = class.OnceOnly
		response, err = g.sender.Send(ctx, binding.Binding{Endpoint: endpoint}, j)
	}
	if err != nil {
		return report.Report{Err: err}
	}
	r := g.platform.Dialect.Report(j, response)
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	_ = response.Body.Close()
	r.Err = err
	return r
}
