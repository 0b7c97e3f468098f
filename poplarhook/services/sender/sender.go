package sender

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/modules/exchanger"
)

// Headers that carry a request's id and deadline to the endpoint; the deadline is that of the gRPC protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Grpc-Timeout"
	HeaderClass     = "X-Request-Class"
)

// Sender sends requests to endpoints over the connections that it keeps to each.
type Sender struct {
	clock    func() time.Time
	proofAge time.Duration
	reuseAge time.Duration
	share    func() int
	lost     func(address string)
	encoder  encoder
	options  []exchanger.Option

	mu         sync.RWMutex
	exchangers map[string]*exchanger.Exchanger
}

// Option changes how a Sender is built.
type Option func(*Sender)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(s *Sender) { s.clock = clock }
}

// WithAges sets how long after its last answer a connection may carry once-only and other work.
func WithAges(onceOnly, other time.Duration) Option {
	return func(s *Sender) { s.proofAge, s.reuseAge = onceOnly, other }
}

// WithShare sets the source of the number of entry hosts that share an endpoint's connections.
func WithShare(entries func() int) Option {
	return func(s *Sender) { s.share = entries }
}

// WithLostHook sets what is called with an endpoint's address when it closes an idle connection.
func WithLostHook(lost func(address string)) Option {
	return func(s *Sender) { s.lost = lost }
}

// encoder sets the headers that an endpoint reads on a message that holds the caller's own.
type encoder interface {
	Encode(message *http.Request, endpoint host.Host, j job.Job, left time.Duration)
}

// WithEncoder sets the headers that go to endpoints, for those that do not read the product's own.
func WithEncoder(e encoder) Option {
	return func(s *Sender) { s.encoder = e }
}

// WithExchange adds options for the connections to each endpoint.
func WithExchange(options ...exchanger.Option) Option {
	return func(s *Sender) { s.options = append(s.options, options...) }
}

const (
	defaultProofAge    = 250 * time.Millisecond
	defaultReuseAge    = 10 * time.Second
	defaultConnections = 64
	minConnections     = 2
)

// New returns a Sender without connections.
func New(options ...Option) *Sender {
	s := &Sender{
		clock:      time.Now,
		proofAge:   defaultProofAge,
		reuseAge:   defaultReuseAge,
		share:      func() int { return 1 },
		lost:       func(string) {},
		encoder:    ownEncoder{},
		exchangers: make(map[string]*exchanger.Exchanger),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Send sends the job once to the endpoint; errors are those of the exchanger.
//
// Nothing is sent from the binding's SendBy on.
func (s *Sender) Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error) {
	age := s.reuseAge
	if j.Class.IsOnceOnly() {
		age = s.proofAge
	}
	return s.exchangerFor(b.Endpoint).Exchange(ctx, s.encode(b.Endpoint, j), age, b.SendBy, b.Alone && !b.Free)
}

// LeaveSilent gives up the idle connections to the endpoint that were last proved before the given time.
func (s *Sender) LeaveSilent(endpoint host.Host, provedBefore time.Time) {
	s.exchangerFor(endpoint).LeaveIdle(provedBefore)
}

// Proved reports whether a connection to the endpoint is open on which no close has been seen.
func (s *Sender) Proved(endpoint host.Host) bool {
	return s.exchangerFor(endpoint).Proved()
}

// Retain closes the connections to every endpoint whose address is not among those given.
func (s *Sender) Retain(endpoints []host.Host) {
	kept := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		kept[e.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, e := range s.exchangers {
		if !kept[address] {
			e.Close()
			delete(s.exchangers, address)
		}
	}
}

// Counts returns the sums over all endpoints.
func (s *Sender) Counts() exchanger.Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var sum exchanger.Counts
	for _, e := range s.exchangers {
		c := e.Counts()
		sum.Dialed += c.Dialed
		sum.Reused += c.Reused
		sum.Broken += c.Broken
		sum.Left += c.Left
		sum.Exceeded += c.Exceeded
		sum.OpenNow += c.OpenNow
		sum.IdleNow += c.IdleNow
	}
	return sum
}

func (s *Sender) exchangerFor(endpoint host.Host) *exchanger.Exchanger {
	s.mu.RLock()
	e := s.exchangers[endpoint.Address]
	s.mu.RUnlock()
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.exchangers[endpoint.Address]; e != nil {
		return e
	}
	options := append([]exchanger.Option{
		exchanger.WithClock(s.clock),
		exchanger.WithMaxOpen(s.limit(endpoint)),
		exchanger.WithLostHook(s.lost),
	}, s.options...)
	e = exchanger.New(endpoint.Address, options...)
	s.exchangers[endpoint.Address] = e
	return e
}

// limit is this host's part of the connections that the endpoint bears.
func (s *Sender) limit(endpoint host.Host) int {
	connections := endpoint.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	return max(connections/max(s.share(), 1), minConnections)
}

// encode builds the message for the endpoint, without the headers that concern only the caller's connection.
func (s *Sender) encode(endpoint host.Host, j job.Job) *http.Request {
	request := &http.Request{
		Method:        j.Method,
		URL:           j.URL,
		Host:          j.Host,
		Header:        forwardable(j.Header),
		ContentLength: int64(len(j.Body)),
	}
	if request.Host == "" {
		request.Host = endpoint.Address
	}
	if len(j.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(j.Body))
	}
	s.encoder.Encode(request, endpoint, j, j.Until.Sub(s.clock()))
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = []string{""}
	}
	return request
}

// ownEncoder sets the product's own headers.
type ownEncoder struct{}

// Encode sets the request's id, its class and the time that is left.
func (ownEncoder) Encode(message *http.Request, _ host.Host, j job.Job, left time.Duration) {
	message.Header.Set(HeaderRequestID, j.ID)
	message.Header.Set(HeaderClass, j.Class.Name)
	message.Header.Set(HeaderTimeout, formatTimeout(left))
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Expect", "Content-Length",
}

// forwardable returns a copy without the headers that concern one connection only.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

func formatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "m"
}
