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

// Dialect reads and writes the headers of the platform's protocol.
type Dialect interface {
	RequestIDHeader() string
	RequestID(header http.Header) string
	Deadline(header http.Header) (time.Duration, bool)
	Keys(header http.Header) []string
	SetRequestID(header http.Header, id string)
	RetryAfter(wait time.Duration) string
	Encode(message *http.Request, endpoint host.Host, j job.Job, left time.Duration)
	Report(j job.Job, response *http.Response) report.Report
	Refuses(response *http.Response, body []byte) bool
}

// directoryOf returns a directory of the endpoints with the settings that the configuration declares for each service.
func directoryOf(revision int64, endpoints map[string]host.Host, s snapshot.Snapshot) *directory.Directory {
	hosts := make([]host.Host, 0, len(endpoints))
	for _, h := range endpoints {
		if declared, known := s.Service(h.Service); known {
			h.HealthPath = declared.HealthPath
			h.Connections = declared.Connections
			h.ColdPerSecond = declared.ColdPerSecond
		}
		hosts = append(hosts, h)
	}
	return directory.New(revision, hosts)
}

// healthProber probes endpoints by their health checks.
type healthProber struct{ gateway *Gateway }

// defaultHealthPath is the path of the health check of services whose configuration declares none.
const defaultHealthPath = "/health"

// retryWithin is the time within which a probe must have failed to be retried on a new connection.
const retryWithin = 60 * time.Millisecond

// maxHealthBytes is how many bytes of the answer to a health check are read.
const maxHealthBytes = 4096

// Probe returns the state that the endpoint reports in its health check, with an error if it did not answer.
func (p healthProber) Probe(ctx context.Context, endpoint host.Host) report.Report {
	g := p.gateway
	path := endpoint.HealthPath
	if path == "" {
		path = defaultHealthPath
	}
	j := job.Job{
		Class:    class.Class{Name: "look", Execution: class.Idempotent},
		Method:   http.MethodGet,
		URL:      &url.URL{Path: path},
		Deadline: g.clock().Add(time.Second),
	}
	sentAt := g.clock()
	response, err := g.sender.Send(ctx, binding.Binding{Endpoint: endpoint}, j)
	if errors.Is(err, exchanger.ErrBroken) && g.clock().Sub(sentAt) < retryWithin {
		// The endpoint may have closed the idle connection. A once-only class makes the sender use only a
		// connection with a recent answer, or open a new one.
		j.Class.Execution = class.OnceOnly
		response, err = g.sender.Send(ctx, binding.Binding{Endpoint: endpoint}, j)
	}
	if err != nil {
		return report.Report{Err: err}
	}
	r := g.platform.Dialect.Report(j, response)
	if r.Mismatched {
		// Closing the unread body closes the connection: the answer to the health check may still come on it.
		r.Err = errStrayHealthAnswer
	} else {
		r.Err = readHealthBody(response.Body)
	}
	_ = response.Body.Close()
	return r
}

var (
	// errLargeHealthAnswer means that the body of an answer to a health check has more than maxHealthBytes.
	errLargeHealthAnswer = errors.New("answer to the health check is too large")
	// errStrayHealthAnswer means that the answer to a health check belongs to a request.
	errStrayHealthAnswer = errors.New("answer to the health check belongs to a request")
)

// readHealthBody reads the whole body. It fails with errLargeHealthAnswer after maxHealthBytes.
func readHealthBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxHealthBytes+1))
	if err == nil && n > maxHealthBytes {
		return errLargeHealthAnswer
	}
	return err
}
