package sender

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/reserver"
)

// Headers that carry a request's id, time left and class to the endpoint; the time left is in gRPC's format.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Grpc-Timeout"
	HeaderClass     = "X-Request-Class"
)

// Sender sends requests to endpoints over connections that it keeps open.
type Sender struct {
	clock               func() time.Time
	onceOnlyMaxIdleTime time.Duration
	otherMaxIdleTime    time.Duration
	entryHosts          func() int
	idleClosed          func(address string)
	encoder             encoder
	headReserver        *reserver.Reserver
	options             []exchanger.Option

	mu         sync.RWMutex
	exchangers map[string]*exchanger.Exchanger
}

// Option configures a Sender.
type Option func(*Sender)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(s *Sender) { s.clock = clock }
}

// WithMaxIdleTimes sets for how long after its last answer a connection may carry once-only and other requests.
func WithMaxIdleTimes(onceOnly, other time.Duration) Option {
	return func(s *Sender) { s.onceOnlyMaxIdleTime, s.otherMaxIdleTime = onceOnly, other }
}

// WithEntryHosts sets the function that returns how many entry hosts share the connections of an endpoint.
func WithEntryHosts(entryHosts func() int) Option {
	return func(s *Sender) { s.entryHosts = entryHosts }
}

// WithIdleClosedHook sets the function that is called with an endpoint's address when the endpoint closes an idle
// connection.
func WithIdleClosedHook(idleClosed func(address string)) Option {
	return func(s *Sender) { s.idleClosed = idleClosed }
}

// encoder adds the headers that an endpoint reads to a message that already holds the caller's headers.
type encoder interface {
	RequestID(header http.Header) string
	Encode(message *http.Request, endpoint host.Host, j job.Job, left time.Duration)
}

// WithEncoder sets the encoder of request headers, for endpoints that do not read Poplarhook's own headers.
func WithEncoder(e encoder) Option {
	return func(s *Sender) { s.encoder = e }
}

// WithExchangerOptions adds options of the exchanger of each endpoint.
func WithExchangerOptions(options ...exchanger.Option) Option {
	return func(s *Sender) { s.options = append(s.options, options...) }
}

const (
	defaultOnceOnlyMaxIdleTime = 250 * time.Millisecond
	defaultOtherMaxIdleTime    = 10 * time.Second
	defaultConnections         = 64
	minConnections             = 2
	// largeHeadBytes is the memory for large heads of answers that are read at the same time, in bytes.
	largeHeadBytes = 4 << 20
)

// New returns a Sender without connections.
func New(options ...Option) *Sender {
	s := &Sender{
		clock:               time.Now,
		onceOnlyMaxIdleTime: defaultOnceOnlyMaxIdleTime,
		otherMaxIdleTime:    defaultOtherMaxIdleTime,
		entryHosts:          func() int { return 1 },
		idleClosed:          func(string) {},
		encoder:             defaultEncoder{},
		headReserver:        reserver.New(largeHeadBytes),
		exchangers:          make(map[string]*exchanger.Exchanger),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Send sends the job once to the endpoint of the binding. Its errors are those of the exchanger.
//
// Nothing is sent at or after the binding's SendBy.
func (s *Sender) Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error) {
	maxIdleTime := s.otherMaxIdleTime
	if j.Class.IsOnceOnly() {
		maxIdleTime = s.onceOnlyMaxIdleTime
	}
	return s.exchangerFor(b.Endpoint).Exchange(ctx, s.encodeRequest(b.Endpoint, j), maxIdleTime, b.SendBy, b.Local && !b.AllowNewConnection)
}

// CloseIdleConnections closes the idle connections to the endpoint whose last answer came before the given time.
func (s *Sender) CloseIdleConnections(endpoint host.Host, confirmedBefore time.Time) {
	s.exchangerFor(endpoint).CloseIdle(confirmedBefore)
}

// HasOpenConnection reports whether an idle connection to the endpoint is open on which no close has been seen.
func (s *Sender) HasOpenConnection(endpoint host.Host) bool {
	return s.exchangerFor(endpoint).HasOpenConnection()
}

// Retain closes the connections to all endpoints whose address is not among those of the given endpoints.
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

// Counts returns the connection counts, summed over all endpoints.
func (s *Sender) Counts() exchanger.Counts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var sum exchanger.Counts
	for _, e := range s.exchangers {
		c := e.Counts()
		sum.Dialed += c.Dialed
		sum.Reused += c.Reused
		sum.Broken += c.Broken
		sum.IdleClosed += c.IdleClosed
		sum.TrailingBytes += c.TrailingBytes
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
		exchanger.WithMaxOpen(s.maxConnections(endpoint)),
		exchanger.WithMaxIdle(s.maxConnections(endpoint)),
		exchanger.WithIdleClosedHook(s.idleClosed),
		exchanger.WithHeadReserver(s.headReserver),
		exchanger.WithRequestID(s.encoder.RequestID),
	}, s.options...)
	e = exchanger.New(endpoint.Address, options...)
	s.exchangers[endpoint.Address] = e
	return e
}

// maxConnections returns this host's share of the connections that the endpoint accepts.
func (s *Sender) maxConnections(endpoint host.Host) int {
	connections := endpoint.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	return max(connections/max(s.entryHosts(), 1), minConnections)
}

// encodeRequest builds the message for the endpoint, without the headers that concern only the caller's connection.
func (s *Sender) encodeRequest(endpoint host.Host, j job.Job) *http.Request {
	request := &http.Request{
		Method:        j.Method,
		URL:           j.URL,
		Host:          j.Host,
		Header:        withoutConnectionHeaders(j.Header),
		ContentLength: j.Body.Len(),
	}
	if request.Host == "" {
		request.Host = endpoint.Address
	}
	if j.Body.Len() > 0 {
		request.Body = j.Body.Open()
	}
	s.encoder.Encode(request, endpoint, j, j.Deadline.Sub(s.clock()))
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = []string{""}
	}
	return request
}

// defaultEncoder sets Poplarhook's own headers.
type defaultEncoder struct{}

// RequestID returns the request's id.
func (defaultEncoder) RequestID(header http.Header) string {
	return header.Get(HeaderRequestID)
}

// Encode sets the headers with the request's id, its class and the time left until its deadline.
func (defaultEncoder) Encode(message *http.Request, _ host.Host, j job.Job, left time.Duration) {
	message.Header.Set(HeaderRequestID, j.ID)
	message.Header.Set(HeaderClass, j.Class.Name)
	message.Header.Set(HeaderTimeout, formatTimeout(left))
}

// connectionHeaders lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Expect", "Content-Length",
}

// withoutConnectionHeaders returns a copy of the header without the fields that concern one connection only.
func withoutConnectionHeaders(header http.Header) http.Header {
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
