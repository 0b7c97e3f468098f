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

// Headers of a request, besides those that HTTP itself names.
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
	// deadlineGrace is how long after a deadline its caller still listens.
	deadlineGrace  = time.Second
	lateAfter      = 2 * time.Millisecond
	maxAnswerBytes = 4 << 20
)

// Option changes a sender under construction.
type Option func(*Sender)

// Sender sends requests over a bounded number of connections.
type Sender struct {
	mix     []scenario.Entry
	targets []string
	client  *http.Client
	clock   func() time.Time
	timeout time.Duration
	free    chan struct{}
}

// New returns a sender of the mix to the targets, which are addresses of host and port.
func New(mix []scenario.Entry, targets []string, clock func() time.Time, options ...Option) *Sender {
	sender := &Sender{mix: mix, targets: targets, clock: clock, timeout: defaultTimeout}
	WithConnections(defaultConnections)(sender)
	for _, option := range options {
		option(sender)
	}
	sender.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        cap(sender.free),
			MaxIdleConnsPerHost: cap(sender.free),
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return sender
}

// WithConnections bounds the requests in flight, and so the connections in use.
func WithConnections(count int) Option {
	return func(s *Sender) {
		s.free = make(chan struct{}, max(count, 1))
	}
}

// WithTimeout sets how long a caller without a deadline waits for an answer.
func WithTimeout(timeout time.Duration) Option {
	return func(s *Sender) {
		s.timeout = timeout
	}
}

// Send sends the request of an arrival, counted from the start, and waits for its outcome.
// An arrival that finds all connections in use waits for one and counts as late.
func (s *Sender) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	intended := start.Add(arrival.Intended)
	s.free <- struct{}{}
	defer func() { <-s.free }()
	seen := outcome.Outcome{
		RequestID: arrival.RequestID,
		Entry:     arrival.Entry,
		Intended:  arrival.Intended,
		IsLate:    s.clock().Sub(intended) > lateAfter,
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeoutOf(arrival.Entry))
	defer cancel()
	connections := new(atomic.Int32)
	seen.Kind, seen.Detail = s.exchange(traced(ctx, connections), arrival)
	seen.Latency = s.clock().Sub(intended)
	seen.Resends = max(int(connections.Load())-1, 0)
	return seen
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

func (s *Sender) exchange(ctx context.Context, arrival scheduler.Arrival) (outcome.Kind, string) {
	request, err := s.request(ctx, arrival)
	if err != nil {
		return outcome.Broken, "request cannot be built"
	}
	response, err := s.client.Do(request)
	if err != nil {
		return outcome.Broken, reason(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return outcome.Broken, "in the answer: " + reason(err)
	}
	return classify(response.StatusCode, response.Header.Get("Content-Type"), body, arrival.RequestID)
}

func (s *Sender) request(ctx context.Context, arrival scheduler.Arrival) (*http.Request, error) {
	entry := s.mix[arrival.Entry]
	url := "http://" + s.targets[arrival.Target] + entry.Path
	request, err := http.NewRequestWithContext(ctx, entry.Method, url, body(entry.BodyBytes))
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
		// net/http sends a broken request again by itself when its header map holds this key in
		// canonical form. A caller that counts executions must not, so the key stands in lower case.
		request.Header["idempotency-key"] = []string{arrival.RequestID}
	}
	return request, nil
}

func (s *Sender) timeoutOf(entry int) time.Duration {
	deadline := s.mix[entry].Deadline()
	if deadline == 0 {
		return s.timeout
	}
	return min(s.timeout, deadline+deadlineGrace)
}

func traced(ctx context.Context, connections *atomic.Int32) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})
}

func body(size int64) io.Reader {
	if size == 0 {
		return http.NoBody
	}
	return bytes.NewReader(bytes.Repeat([]byte("x"), int(size)))
}
