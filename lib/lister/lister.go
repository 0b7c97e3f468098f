package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 64 << 20
	maxHeadBytes   = 64 << 10
)

var (
	// ErrUnavailable is returned if the host list could not be read from the platform.
	ErrUnavailable = errors.New("host list unavailable")
	// ErrUnchanged is returned if the wait of List ended without a newer list of hosts.
	ErrUnchanged = errors.New("host list unchanged")
)

// Lister is a client of the host list, safe for concurrent use.
type Lister struct {
	baseURL   string
	timeout   time.Duration
	client    *http.Client
	transport *http.Transport
}

// Option changes a setting of a Lister.
type Option func(*Lister)

// WithTimeout sets the timeout of each call; the wait time of List is added to it.
func WithTimeout(timeout time.Duration) Option {
	return func(l *Lister) { l.timeout = timeout }
}

// New returns a client of the host list at a base URL such as http://127.0.0.1:7000.
func New(baseURL string, options ...Option) *Lister {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes}
	l := &Lister{
		baseURL:   strings.TrimSuffix(baseURL, "/"),
		timeout:   defaultTimeout,
		transport: transport,
		client:    &http.Client{Transport: transport},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Close closes the idle connections to the platform.
func (l *Lister) Close() {
	l.transport.CloseIdleConnections()
}

// List waits for a host list with a version above after and returns its version and hosts, or ErrUnchanged if there is
// none within wait.
func (l *Lister) List(ctx context.Context, after int64, wait time.Duration) (int64, []host.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.listURL(after, wait), http.NoBody)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "list hosts: %v", err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		// Other idle connections may be unresponsive too; closing them makes the next call dial a new one.
		l.transport.CloseIdleConnections()
		return 0, nil, errors.Wrapf(ErrUnavailable, "list hosts: %v", err)
	}
	defer response.Body.Close()
	return parseList(response)
}

func (l *Lister) listURL(after int64, wait time.Duration) string {
	if after <= 0 {
		return l.baseURL + "/v1/hosts"
	}
	return l.baseURL + "/v1/hosts?after=" + strconv.FormatInt(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}

func parseList(response *http.Response) (int64, []host.Host, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return 0, nil, ErrUnchanged
	default:
		return 0, nil, errors.Wrapf(ErrUnavailable, "list hosts: status %d", response.StatusCode)
	}
	var list struct {
		Version int64       `json:"version"`
		Hosts   []host.Host `json:"hosts"`
	}
	body := http.MaxBytesReader(nil, response.Body, maxListBytes)
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "list hosts: %v", err)
	}
	return list.Version, list.Hosts, nil
}
