package sender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
)

// Request headers that are not part of HTTP itself.
const (
	RequestIDHeader      = "X-Request-Id"
	DeadlineHeader       = "Grpc-Timeout"
	AnswerBytesHeader    = "X-Answer-Bytes"
	MarkerHeader         = "X-Marker"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	defaultConnections = 256
	defaultTimeout     = 10 * time.Second
	// deadlineGrace is how long after the deadline of a request the caller still waits for the answer.
	deadlineGrace  = time.Second
	lateThreshold  = 2 * time.Millisecond
	maxAnswerBytes = 4 << 20
)

// Option configures a Sender.
type Option func(*Sender)

// Sender sends requests over a bounded number of connections.
type Sender struct {
	mix             []scenario.Entry
	targets         []string
	client          *http.Client
	clock           func() time.Time
	timeout         time.Duration
	freeConnections chan struct{}
}

// New returns a sender of requests of the mix to the targets, which are given as host:port.
func New(mix []scenario.Entry, targets []string, clock func() time.Time, options ...Option) *Sender {
	sender := &Sender{mix: mix, targets: targets, clock: clock, timeout: defaultTimeout}
	WithConnections(defaultConnections)(sender)
	for _, option := range options {
		option(sender)
	}
	sender.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        cap(sender.freeConnections),
			MaxIdleConnsPerHost: cap(sender.freeConnections),
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return sender
}

// WithConnections limits the number of requests in flight, and so the number of connections in use.
func WithConnections(count int) Option {
	return func(s *Sender) {
		s.freeConnections = make(chan struct{}, max(count, 1))
	}
}

// WithTimeout sets how long to wait for the answer to a request without a deadline. It also limits the wait for the
// answer to a request with one.
func WithTimeout(timeout time.Duration) Option {
	return func(s *Sender) {
		s.timeout = timeout
	}
}

// Send sends the request of an arrival, whose intended time counts from the start, and waits for its outcome. If all
// connections are in use, it first waits for one, and the request counts as late if it is then sent too long after its
// intended time.
func (s *Sender) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	intended := start.Add(arrival.Intended)
	s.freeConnections <- struct{}{}
	defer func() { <-s.freeConnections }()
	result := outcome.Outcome{
		RequestID: arrival.RequestID,
		Entry:     arrival.Entry,
		Intended:  arrival.Intended,
		IsLate:    s.clock().Sub(intended) > lateThreshold,
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeoutOfEntry(arrival.Entry))
	defer cancel()
	connections := new(atomic.Int32)
	result.Kind, result.Detail = s.sendAndClassify(withConnectionCount(ctx, connections), arrival)
	result.Latency = s.clock().Sub(intended)
	result.Resends = max(int(connections.Load())-1, 0)
	return result
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

func (s *Sender) sendAndClassify(ctx context.Context, arrival scheduler.Arrival) (outcome.Kind, string) {
	request, err := s.newRequest(ctx, arrival)
	if err != nil {
		return outcome.Broken, "request cannot be built"
	}
	response, err := s.client.Do(request)
	if err != nil {
		return outcome.Broken, failureReason(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return outcome.Broken, "in the answer: " + failureReason(err)
	}
	return classifyResponse(response.StatusCode, response.Header.Get("Content-Type"), body, arrival.RequestID)
}

func (s *Sender) newRequest(ctx context.Context, arrival scheduler.Arrival) (*http.Request, error) {
	entry := s.mix[arrival.Entry]
	url := "http://" + s.targets[arrival.Target] + entry.Path
	request, err := http.NewRequestWithContext(ctx, entry.Method, url, newBody(entry.BodyBytes))
	if err != nil {
		return nil, err
	}
	request.Host = entry.Host
	request.Header.Set(RequestIDHeader, arrival.RequestID)
	if entry.DeadlineMS > 0 {
		request.Header.Set(DeadlineHeader, fmt.Sprintf("%dm", entry.DeadlineMS))
	}
	if entry.AnswerBytes > 0 {
		request.Header.Set(AnswerBytesHeader, fmt.Sprint(entry.AnswerBytes))
	}
	if entry.Marker != "" {
		request.Header.Set(MarkerHeader, entry.Marker)
	}
	if entry.IdempotencyKey {
		// net/http resends a failed request on its own if the header map contains this key in canonical form. The load
		// generator counts executions and must not resend, so the key is set in lower case.
		request.Header["idempotency-key"] = []string{arrival.RequestID}
	}
	return request, nil
}

func (s *Sender) timeoutOfEntry(entry int) time.Duration {
	deadline := s.mix[entry].Deadline()
	if deadline == 0 {
		return s.timeout
	}
	return min(s.timeout, deadline+deadlineGrace)
}

// withConnectionCount returns a context that counts how often a request obtains a connection.
func withConnectionCount(ctx context.Context, connections *atomic.Int32) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})
}

func newBody(size int64) io.Reader {
	if size == 0 {
		return http.NoBody
	}
	return bytes.NewReader(bytes.Repeat([]byte("x"), int(size)))
}
