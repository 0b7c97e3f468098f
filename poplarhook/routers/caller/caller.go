package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
)

// HeaderRequestID carries the id of a request; an absent one is made up.
const HeaderRequestID = "X-Request-Id"

// HeaderTimeout carries a caller's own deadline, as the gRPC protocol writes it; a longer one than the class's counts for nothing.
const HeaderTimeout = "Grpc-Timeout"

const maxRequestID = 128

// classifier finds the class of a request.
type classifier interface {
	Classify(method, host, path string) (class.Class, string, error)
}

// dispatcher takes a classified request to its end.
type dispatcher interface {
	Dispatch(ctx context.Context, j job.Job) (*answer.Answer, error)
}

// Caller is the handler of the callers' side.
type Caller struct {
	clock      func() time.Time
	classifier func() classifier
	// start waits for the first configuration, for as long as that may be worth it.
	start      func(ctx context.Context)
	dispatcher dispatcher
	maxBody    func() int64
	places     chan struct{}
	// isAmbiguous says that the request's length was declared in two ways.
	isAmbiguous func(ctx context.Context) bool
	counter     func(outcome, class string, took time.Duration)
	dialect     dialect
	divider     func(c class.Class) class.Class
	logger      *zap.Logger
}

// dialect reads and writes the headers by which callers name requests and deadlines.
type dialect interface {
	RequestID(header http.Header) string
	Deadline(header http.Header) (time.Duration, bool)
	Mark(header http.Header, id string)
	RetryAfter(wait time.Duration) string
}

// WithDialect sets the callers' headers, for callers that do not use the product's own.
func WithDialect(d dialect) Option {
	return func(c *Caller) { c.dialect = d }
}

// WithDivider sets how a request of a class that several services share gets its one service.
func WithDivider(divide func(c class.Class) class.Class) Option {
	return func(c *Caller) { c.divider = divide }
}

// WithLogger sets where the ends of requests are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(c *Caller) { c.logger = logger }
}

// Option changes how a Caller is built.
type Option func(*Caller)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(c *Caller) { c.clock = clock }
}

// WithMaxBody sets the largest body of a request in bytes.
func WithMaxBody(bytes int64) Option {
	return WithBodyLimit(func() int64 { return bytes })
}

// WithBodyLimit sets the source of the largest body of a request in bytes, for a limit that configurations change.
func WithBodyLimit(bytes func() int64) Option {
	return func(c *Caller) { c.maxBody = bytes }
}

// WithCounter sets where the ends of requests are counted.
func WithCounter(count func(outcome, class string, took time.Duration)) Option {
	return func(c *Caller) { c.counter = count }
}

// WithScreen sets what tells that a request declared its length in two ways.
func WithScreen(isAmbiguous func(ctx context.Context) bool) Option {
	return func(c *Caller) { c.isAmbiguous = isAmbiguous }
}

// WithStart sets what a request waits for that came before there is a configuration.
func WithStart(wait func(ctx context.Context)) Option {
	return func(c *Caller) { c.start = wait }
}

// WithMaxRequests sets how many requests may be under way at once.
func WithMaxRequests(n int) Option {
	return func(c *Caller) { c.places = make(chan struct{}, n) }
}

// unconfiguredWait is when a caller may come back to a host that has just started: some take a configuration in 100 to 250 ms.
const unconfiguredWait = 200 * time.Millisecond

const (
	defaultMaxBody     = 1 << 20
	defaultMaxRequests = 4096
)

// New returns a Caller; classify gives the classifier in force, or nil before there is a configuration.
func New[C classifier](classify func() (C, bool), d dispatcher, options ...Option) *Caller {
	c := &Caller{
		clock:      time.Now,
		dispatcher: d,
		maxBody:    func() int64 { return defaultMaxBody },
		places:     make(chan struct{}, defaultMaxRequests),
		counter:    func(string, string, time.Duration) {},
		dialect:    ownDialect{},
		divider:    func(c class.Class) class.Class { return c },
		logger:     zap.NewNop(),
		start:      func(context.Context) {},

		isAmbiguous: func(context.Context) bool { return false },
	}
	c.classifier = func() classifier {
		if found, ok := classify(); ok {
			return found
		}
		return nil
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// ServeHTTP classifies, reads, dispatches and answers one request.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := c.clock()
	select {
	case c.places <- struct{}{}:
		defer func() { <-c.places }()
	default:
		c.refuse(w, r, job.Job{Arrived: arrived}, refusal.NotRun(http.StatusServiceUnavailable, "too many requests are under way on this host").WithRetryAfter(time.Second))
		return
	}
	j, err := c.read(w, r, arrived)
	if err != nil {
		c.refuse(w, r, j, err)
		return
	}
	a, err := c.dispatcher.Dispatch(r.Context(), j)
	if r.Context().Err() != nil {
		c.logger.Info("request given up by its caller", zap.String("request", j.ID), zap.String("class", j.Class.Name),
			zap.Duration("took", c.clock().Sub(arrived)))
	}
	if err != nil {
		// Also to a caller that has left, who may have closed only its own half of the connection.
		c.refuse(w, r, j, err)
		return
	}
	defer a.Close()
	c.write(w, r, j, a)
}

// read returns the classified request with its whole body.
func (c *Caller) read(w http.ResponseWriter, r *http.Request, arrived time.Time) (job.Job, error) {
	j := job.Job{ID: c.dialect.RequestID(r.Header), Arrived: arrived}
	if c.isAmbiguous(r.Context()) {
		// Whoever sends on this connection may read its requests otherwise than this host.
		w.Header().Set("Connection", "close")
		return j, refusal.NotRun(http.StatusBadRequest, "Content-Length and Transfer-Encoding must not stand together")
	}
	if err := c.check(r); err != nil {
		return j, err
	}
	if j.ID == "" {
		j.ID = uuid.NewString()
	}
	inForce := c.classifier()
	if inForce == nil {
		c.start(r.Context())
		inForce = c.classifier()
	}
	if inForce == nil {
		return j, refusal.NotRun(http.StatusServiceUnavailable, "no configuration is in force yet").WithRetryAfter(unconfiguredWait)
	}
	found, team, err := inForce.Classify(r.Method, r.Host, r.URL.EscapedPath())
	if err != nil {
		return j, refusal.NotRun(http.StatusNotFound, err.Error())
	}
	j.Class, j.Team = c.divider(found), team
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBody()))
	if err != nil {
		return j, bodyRefusal(err)
	}
	j.Method, j.URL, j.Host, j.Header, j.Body = r.Method, r.URL, r.Host, r.Header, body
	j.Until = arrived.Add(found.Deadline())
	if own, given := c.dialect.Deadline(r.Header); given && own < found.Deadline() {
		j.Until = arrived.Add(own)
	}
	return j, nil
}

// check refuses what net/http lets through but an endpoint might understand otherwise.
func (c *Caller) check(r *http.Request) error {
	if r.Method == http.MethodConnect || r.URL.Host != "" {
		return refusal.NotRun(http.StatusBadRequest, "request target must be a path")
	}
	if r.Header.Get("Upgrade") != "" {
		return refusal.NotRun(http.StatusBadRequest, "Upgrade is not supported")
	}
	if len(r.Header.Values(HeaderRequestID)) > 1 || len(r.Header.Get(HeaderRequestID)) > maxRequestID {
		return refusal.NotRun(http.StatusBadRequest, "X-Request-Id must be given once, with at most 128 bytes")
	}
	if most := c.maxBody(); r.ContentLength > most {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "body is over "+strconv.FormatInt(most, 10)+" bytes")
	}
	return nil
}

func bodyRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refusal.NotRun(http.StatusBadRequest, "body broke off")
}
