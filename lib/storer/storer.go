package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/object"
)

// MaxValueBytes is the maximum size of a value in the store, in bytes.
const MaxValueBytes = 1 << 20

const (
	defaultTimeout = 2 * time.Second
	objectsPath    = "/v1/objects"
	watchPath      = "/v1/watch/"
	maxListBytes   = 16 << 20
	maxHeadBytes   = 64 << 10
)

var (
	// ErrNotFound is returned if the store has no object with the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned if a precondition failed, so that nothing was written.
	ErrConflict = errors.New("precondition failed")
	// ErrUnavailable is returned if the store did not answer a read, or certainly did not apply a write.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome is returned if a write was sent and may or may not have been applied.
	ErrUnknownOutcome = errors.New("outcome of the write unknown")
	// ErrTooLarge is returned if a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrUnchanged is returned if a watch ended without a newer version.
	ErrUnchanged = errors.New("object unchanged")
)

// Storer is a client of the object store, safe for concurrent use.
type Storer struct {
	baseURL   string
	timeout   time.Duration
	client    *http.Client
	transport *http.Transport
	reads     atomic.Int64
	writes    atomic.Int64
	watches   atomic.Int64
}

// Option changes a setting of a Storer.
type Option func(*Storer)

// WithTimeout sets the timeout of each call; a watch adds its wait time to it.
func WithTimeout(timeout time.Duration) Option {
	return func(s *Storer) { s.timeout = timeout }
}

// New returns a client of the store at a base URL such as http://127.0.0.1:7000.
func New(baseURL string, options ...Option) *Storer {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes}
	s := &Storer{
		baseURL:   strings.TrimSuffix(baseURL, "/"),
		timeout:   defaultTimeout,
		transport: transport,
		client:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Close closes the idle connections to the store.
func (s *Storer) Close() {
	s.transport.CloseIdleConnections()
}

// Counts returns how many reads, writes and watches were started.
func (s *Storer) Counts() (reads, writes, watches int64) {
	return s.reads.Load(), s.writes.Load(), s.watches.Load()
}

// Get returns the object with the key, or ErrNotFound or ErrUnavailable.
func (s *Storer) Get(ctx context.Context, key string) (object.Object, error) {
	s.reads.Add(1)
	answer, err := s.read(ctx, objectURL(objectsPath+"/", key), s.timeout, MaxValueBytes)
	if err != nil {
		return object.Object{}, errors.Wrapf(err, "get %s", key)
	}
	found, err := answer.parseObject(key)
	return found, errors.Wrapf(err, "get %s", key)
}

// List returns the keys and versions, without values, of the objects whose keys start with prefix.
func (s *Storer) List(ctx context.Context, prefix string) ([]object.Object, error) {
	s.reads.Add(1)
	path := objectsPath + "?prefix=" + url.QueryEscape(prefix)
	answer, err := s.read(ctx, path, s.timeout, maxListBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	if answer.status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "list %s: status %d", prefix, answer.status)
	}
	var listing struct {
		Objects []object.Object `json:"objects"`
	}
	if err := json.Unmarshal(answer.body, &listing); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "list %s: %v", prefix, err)
	}
	return listing.Objects, nil
}

// Watch waits for a version of the object newer than after, and returns ErrUnchanged if there is none within wait.
func (s *Storer) Watch(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error) {
	s.watches.Add(1)
	query := "?after=" + strconv.FormatInt(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	answer, err := s.read(ctx, objectURL(watchPath, key)+query, s.timeout+wait, MaxValueBytes)
	if err != nil {
		return object.Object{}, errors.Wrapf(err, "watch %s", key)
	}
	found, err := answer.parseObject(key)
	return found, errors.Wrapf(err, "watch %s", key)
}

// Put replaces the value of the object and returns its new version, or ErrConflict, ErrTooLarge, ErrUnavailable
// or ErrUnknownOutcome.
func (s *Storer) Put(ctx context.Context, key string, value []byte, preconditions ...Precondition) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "put %s: %d bytes, allowed are %d", key, len(value), MaxValueBytes)
	}
	s.writes.Add(1)
	header, err := s.write(ctx, http.MethodPut, key, value, preconditions)
	if err != nil {
		return 0, errors.Wrapf(err, "put %s", key)
	}
	version, err := parseVersion(header)
	if err != nil {
		return 0, errors.Wrapf(ErrUnknownOutcome, "put %s: %v", key, err)
	}
	return version, nil
}

// Delete removes the object with the key, or returns ErrNotFound, ErrConflict, ErrUnavailable or ErrUnknownOutcome.
func (s *Storer) Delete(ctx context.Context, key string, preconditions ...Precondition) error {
	s.writes.Add(1)
	_, err := s.write(ctx, http.MethodDelete, key, nil, preconditions)
	return errors.Wrapf(err, "delete %s", key)
}

func (s *Storer) write(ctx context.Context, method, key string, value []byte, preconditions []Precondition) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	ctx, sent := traceSending(ctx)
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+objectURL(objectsPath+"/", key), bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	// Without GetBody, net/http cannot send the body a second time.
	request.GetBody = nil
	for _, precondition := range preconditions {
		precondition(request.Header)
	}
	response, err := s.client.Do(request)
	if err != nil {
		s.closeIdleOnTimeout(err)
		if sent.hasStartedSending() {
			return nil, errors.Wrapf(ErrUnknownOutcome, "%v", err)
		}
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, MaxValueBytes))
	return response.Header, newWriteError(response.StatusCode)
}

// closeIdleOnTimeout closes the idle connections if err is a timeout, since they may be unresponsive like the one used.
func (s *Storer) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		s.transport.CloseIdleConnections()
	}
}

func (s *Storer) read(ctx context.Context, path string, timeout time.Duration, limit int64) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+path, http.NoBody)
	if err != nil {
		return answer{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		s.closeIdleOnTimeout(err)
		return answer{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		s.closeIdleOnTimeout(err)
		return answer{}, errors.Wrapf(ErrUnavailable, "read answer: %v", err)
	}
	if int64(len(body)) > limit {
		return answer{}, errors.Wrapf(ErrUnavailable, "answer is larger than %d bytes", limit)
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func objectURL(path, key string) string {
	return (&url.URL{Path: path + key}).EscapedPath()
}
