package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/problem"
)

var (
	// ErrNotSent means that no byte of a request reached the entry host.
	ErrNotSent = errors.New("entry host not reached")
	// ErrIncompleteResponse means that a request may have been sent and no complete, valid response was received.
	ErrIncompleteResponse = errors.New("no complete response from the entry host")
	// ErrNoAdmin means that no entry host was given.
	ErrNoAdmin = errors.New("no entry host given: pass --admin URL or set POPLARCTL_ADMIN")
)

const (
	defaultAttemptTimeout = 12 * time.Second
	maxResponseBytes      = 64 << 20
	// responseMargin is the part of the timeout that is reserved for the transfer of the response.
	responseMargin = 500 * time.Millisecond
)

// Requester is a client of several entry hosts, any of which can answer a request.
type Requester struct {
	admins         []string
	token          string
	clock          func() time.Time
	attemptTimeout time.Duration
	client         *http.Client
}

// Option configures a Requester.
type Option func(*Requester)

// WithAttemptTimeout limits the duration of each request. For changes it should exceed the entry host's own limit.
func WithAttemptTimeout(timeout time.Duration) Option {
	return func(r *Requester) { r.attemptTimeout = timeout }
}

// New returns a requester for base URLs such as http://127.0.0.1:8082. The token is sent only to these URLs.
func New(admins []string, token string, clock func() time.Time, options ...Option) *Requester {
	r := &Requester{token: token, clock: clock, attemptTimeout: defaultAttemptTimeout}
	for _, admin := range admins {
		r.admins = append(r.admins, strings.TrimSuffix(admin, "/"))
	}
	r.client = &http.Client{
		// Each request opens its own connection, so that no request is sent over a broken kept-alive connection.
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Admins returns the base URLs of the entry hosts.
func (r *Requester) Admins() []string {
	return r.admins
}

// Read sends a GET request to the entry hosts in turn until one succeeds or refuses it. It decodes the response into
// the given value and returns the revision in the ETag header, or zero if there is none.
func (r *Requester) Read(ctx context.Context, path string, into any) (int64, error) {
	err := ErrNoAdmin
	for _, admin := range r.admins {
		var revision int64
		revision, err = r.Send(ctx, admin, Request{Method: http.MethodGet, Path: path}, into)
		if err == nil || IsRefusal(err) {
			return revision, err
		}
	}
	return 0, err
}

// IsRefusal reports whether the error is a refusal that any other entry host would give too.
func IsRefusal(err error) bool {
	var p problem.Problem
	return errors.As(err, &p) && p.Status < http.StatusInternalServerError
}

// Request is one request to the administration API.
type Request struct {
	Method string
	Path   string
	Body   []byte
	// BaseRevision is sent in the If-Match header unless it is nil.
	BaseRevision *int64
}

// Send sends the request once to one entry host, decodes the response and returns the revision in its ETag header.
// The error wraps a problem.Problem for a refusal, and ErrNotSent or ErrIncompleteResponse otherwise.
func (r *Requester) Send(ctx context.Context, admin string, request Request, into any) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.attemptTimeout)
	defer cancel()
	httpRequest, err := r.newHTTPRequest(ctx, admin, request)
	if err != nil {
		return 0, err
	}
	response, err := r.client.Do(httpRequest)
	if err != nil {
		return 0, newTransportError(admin, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, errors.Wrapf(ErrIncompleteResponse, "%s: %v", admin, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return 0, newProblemError(admin, response, body)
	}
	if into == nil || response.StatusCode == http.StatusNoContent {
		return 0, nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return 0, errors.Wrapf(ErrIncompleteResponse, "%s: %v", admin, err)
	}
	revision, _ := strconv.ParseInt(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return revision, nil
}

func (r *Requester) newHTTPRequest(ctx context.Context, admin string, request Request) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, admin+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%s: %v", admin, err)
	}
	if r.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.token)
	}
	if seconds := r.secondsLeft(ctx); seconds > 0 && request.Method != http.MethodGet {
		httpRequest.Header.Set("Prefer", "wait="+strconv.Itoa(seconds))
	}
	if request.BaseRevision != nil {
		httpRequest.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(*request.BaseRevision, 10)))
	}
	return httpRequest, nil
}

// secondsLeft returns the number of seconds for the wait preference (RFC 7240), within which an entry host should
// answer. It is zero if the context has no deadline.
func (r *Requester) secondsLeft(ctx context.Context) int {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return int((deadline.Sub(r.clock()) - responseMargin).Seconds())
}

// newTransportError returns ErrNotSent if the connection could not be opened, and ErrIncompleteResponse otherwise.
func newTransportError(admin string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrapf(ErrNotSent, "%s: %v", admin, opErr.Err)
	}
	return errors.Wrapf(ErrIncompleteResponse, "%v", err)
}

func newProblemError(admin string, response *http.Response, body []byte) error {
	var p problem.Problem
	if json.Unmarshal(body, &p) != nil || p.Code == "" {
		return errors.Wrapf(ErrIncompleteResponse, "%s: status %d without problem details", admin, response.StatusCode)
	}
	return errors.Wrap(p, admin)
}
