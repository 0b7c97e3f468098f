package caller

import (
	"context"
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

// HeaderRequestID is the header with the id of a request; the host generates an id if a request has none.
const HeaderRequestID = "X-Request-Id"

// HeaderTimeout is the header with a caller's deadline in the format of the gRPC protocol; it applies only if it is
// shorter than the deadline of the class.
const HeaderTimeout = "Grpc-Timeout"

const maxRequestIDBytes = 128

// classifier finds the class of a request.
type classifier interface {
	Classify(method, host, path string) (class.Class, string, error)
}

// dispatcher sends a classified request to an endpoint and returns the answer.
type dispatcher interface {
	Dispatch(ctx context.Context, j job.Job) (*answer.Answer, error)
}

// Caller is the HTTP handler for callers.
type Caller struct {
	clock      func() time.Time
	classifier func() classifier
	// awaitConfiguration waits for a limited time for the first configuration.
	awaitConfiguration func(ctx context.Context)
	// unconfiguredReason says why there is no configuration, and bodyDefect why the limit on bodies cannot be read.
	unconfiguredReason func() string
	bodyDefect         func() string
	// acceptsKeys reports whether the configuration is recent enough to accept keys.
	acceptsKeys func() bool
	dispatcher  dispatcher
	maxBody     func() int64
	// slots holds one value for each request in progress; its capacity is the maximum number of them.
	slots chan struct{}
	// isAmbiguous reports whether the request declared the length of its body in two ways.
	isAmbiguous func(ctx context.Context) bool
	count       func(outcome, class string, took time.Duration)
	dialect     dialect
	// chooseService chooses one service for a request of a class that several services share.
	chooseService func(c class.Class) class.Class
	// earlyResult returns the result of the early start of the request of the context, nil if there was none.
	earlyResult func(ctx context.Context) any
	logger      *zap.Logger
	// memory limits the memory of the bodies of all requests. If boundsBodies is true, bodies must arrive before the
	// deadlines of their requests.
	memory       memory
	boundsBodies bool
}

// dialect reads and writes the headers with request ids, deadlines and retry times.
type dialect interface {
	// RequestIDHeader returns the name of the header with the request id.
	RequestIDHeader() string
	RequestID(header http.Header) string
	Deadline(header http.Header) (time.Duration, bool)
	SetRequestID(header http.Header, id string)
	RetryAfter(wait time.Duration) string
	// Keys returns the API keys that the caller sent.
	Keys(header http.Header) []string
}

// WithDialect sets the dialect, for callers that do not use Poplarhook's own headers.
func WithDialect(d dialect) Option {
	return func(c *Caller) { c.dialect = d }
}

// WithDivider sets the function that chooses one service for a request of a class that several services share.
func WithDivider(divide func(c class.Class) class.Class) Option {
	return func(c *Caller) { c.chooseService = divide }
}

// WithEarlyResults sets the function that returns what StartEarly returned for the request of the context.
func WithEarlyResults(result func(ctx context.Context) any) Option {
	return func(c *Caller) { c.earlyResult = result }
}

// WithLogger sets the logger for the results of requests.
func WithLogger(logger *zap.Logger) Option {
	return func(c *Caller) { c.logger = logger }
}

// Option configures a Caller.
type Option func(*Caller)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(c *Caller) { c.clock = clock }
}

// WithMaxBody sets the maximum size of a request body in bytes.
func WithMaxBody(bytes int64) Option {
	return WithBodyLimit(func() int64 { return bytes })
}

// WithBodyLimit sets the source of the maximum size of a request body in bytes, for a limit that the configuration can
// change.
func WithBodyLimit(bytes func() int64) Option {
	return func(c *Caller) { c.maxBody = bytes }
}

// WithCounter sets the function that counts finished requests by outcome and class.
func WithCounter(count func(outcome, class string, took time.Duration)) Option {
	return func(c *Caller) { c.count = count }
}

// WithAmbiguityCheck sets the function that reports whether a request declared the length of its body in two ways.
func WithAmbiguityCheck(isAmbiguous func(ctx context.Context) bool) Option {
	return func(c *Caller) { c.isAmbiguous = isAmbiguous }
}

// WithConfigurationWait sets the function that waits for the first configuration, for requests that arrive before it.
func WithConfigurationWait(wait func(ctx context.Context)) Option {
	return func(c *Caller) { c.awaitConfiguration = wait }
}

// WithUnconfiguredReason sets the source of the reason with which requests are refused while there is no configuration.
func WithUnconfiguredReason(reason func() string) Option {
	return func(c *Caller) { c.unconfiguredReason = reason }
}

// WithBodyDefect sets the function that says why the limit on bodies cannot be read, empty if it can. Meanwhile requests
// with a body are refused.
func WithBodyDefect(reason func() string) Option {
	return func(c *Caller) { c.bodyDefect = reason }
}

// WithMaxRequests sets the maximum number of requests in progress at the same time.
func WithMaxRequests(n int) Option {
	return func(c *Caller) { c.slots = make(chan struct{}, n) }
}

// defectRetryAfter is the retry time for requests that wait for operators to correct the configuration.
const defectRetryAfter = time.Second

// unconfiguredRetryAfter is the retry time sent to callers of a host that has just started and has no configuration.
// Some hosts take 100 to 250 ms to receive one.
const unconfiguredRetryAfter = 200 * time.Millisecond

const (
	defaultMaxBodyBytes = 1 << 20
	defaultMaxRequests  = 4096
)

// New returns a Caller; classify returns the current classifier, and false while there is no configuration.
func New[C classifier](classify func() (C, bool), d dispatcher, options ...Option) *Caller {
	c := &Caller{
		clock:              time.Now,
		dispatcher:         d,
		maxBody:            func() int64 { return defaultMaxBodyBytes },
		slots:              make(chan struct{}, defaultMaxRequests),
		count:              func(string, string, time.Duration) {},
		dialect:            ownDialect{},
		chooseService:      func(c class.Class) class.Class { return c },
		logger:             zap.NewNop(),
		awaitConfiguration: func(context.Context) {},
		unconfiguredReason: func() string { return "no configuration is in force yet" },
		bodyDefect:         func() string { return "" },
		acceptsKeys:        func() bool { return true },

		isAmbiguous: func(context.Context) bool { return false },
		earlyResult: func(context.Context) any { return nil },
		memory:      unlimitedMemory{},
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

// ServeHTTP reads, classifies, dispatches and answers one request.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := c.takeEarly(r); e != nil {
		defer e.end()
		c.finish(w, r, e.job, e.answer, e.err)
		return
	}
	arrived := c.clock()
	if !c.takeSlot() {
		c.refuse(w, r, job.Job{ArrivedAt: arrived}, refusal.NotRun(http.StatusServiceUnavailable, "too many requests are under way on this host").WithRetryAfter(time.Second))
		return
	}
	defer c.returnSlot()
	body := &bodyReader{caller: c}
	defer body.release()
	j, err := c.readJob(w, r, arrived, body)
	if err != nil {
		c.refuse(w, r, j, err)
		return
	}
	if err := c.recheckKey(w, r, j); err != nil {
		c.refuse(w, r, j, err)
		return
	}
	a, err := c.dispatcher.Dispatch(r.Context(), j)
	c.finish(w, r, j, a, err)
}

// finish answers a request with what its dispatch has returned.
func (c *Caller) finish(w http.ResponseWriter, r *http.Request, j job.Job, a *answer.Answer, err error) {
	if r.Context().Err() != nil {
		c.logger.Info("request given up by its caller", zap.String("request", j.ID), zap.String("class", j.Class.Name),
			zap.Duration("took", c.clock().Sub(j.ArrivedAt)))
	}
	if err != nil {
		// The refusal is also written if the caller has disconnected, because it may have closed only its sending direction.
		c.refuse(w, r, j, err)
		return
	}
	defer a.Close()
	c.writeAnswer(w, r, j, a)
}

// readJob reads the whole request and returns it with its class and deadline.
func (c *Caller) readJob(w http.ResponseWriter, r *http.Request, arrived time.Time, body *bodyReader) (job.Job, error) {
	j := job.Job{ID: c.dialect.RequestID(r.Header), ArrivedAt: arrived}
	if c.isAmbiguous(r.Context()) {
		// The sender on this connection may find other request boundaries in it than this host does.
		w.Header().Set("Connection", "close")
		return j, refusal.NotRun(http.StatusBadRequest, "Content-Length and Transfer-Encoding must not stand together")
	}
	if err := c.checkRequest(r); err != nil {
		return j, err
	}
	if j.ID == "" {
		j.ID = uuid.NewString()
	}
	current := c.classifier()
	if current == nil {
		c.awaitConfiguration(r.Context())
		current = c.classifier()
	}
	if current == nil {
		return j, refusal.NotRun(http.StatusServiceUnavailable, c.unconfiguredReason()).WithRetryAfter(unconfiguredRetryAfter)
	}
	found, team, err := current.Classify(r.Method, r.Host, r.URL.EscapedPath())
	if err != nil {
		return j, refusal.NotRun(http.StatusNotFound, err.Error())
	}
	if found.Defect != "" {
		j.Class = found
		return j, refusal.NotRun(http.StatusServiceUnavailable, found.Defect).WithRetryAfter(defectRetryAfter)
	}
	if reason := c.bodyDefect(); reason != "" && r.ContentLength != 0 {
		return j, refusal.NotRun(http.StatusServiceUnavailable, reason).WithRetryAfter(defectRetryAfter)
	}
	j.Class, j.Team = c.chooseService(found), team
	if j, err = c.authenticate(w, current, r.Header, j); err != nil {
		return j, err
	}
	j.Method, j.URL, j.Host, j.Header = r.Method, r.URL, r.Host, r.Header
	j.Deadline = arrived.Add(found.Deadline())
	if timeout, given := c.dialect.Deadline(r.Header); given && timeout < found.Deadline() {
		j.Deadline = arrived.Add(timeout)
	}
	j.Body, err = body.read(w, r, j.Deadline)
	return j, err
}

// checkRequest refuses requests that net/http accepts but that an endpoint might interpret differently.
func (c *Caller) checkRequest(r *http.Request) error {
	if r.Method == http.MethodConnect || r.URL.Host != "" {
		return refusal.NotRun(http.StatusBadRequest, "request target must be a path")
	}
	if r.Header.Get("Upgrade") != "" {
		return refusal.NotRun(http.StatusBadRequest, "Upgrade is not supported")
	}
	name := c.dialect.RequestIDHeader()
	if len(r.Header.Values(name)) > 1 || len(r.Header.Get(name)) > maxRequestIDBytes {
		return refusal.NotRun(http.StatusBadRequest, name+" must be given once, with at most "+strconv.Itoa(maxRequestIDBytes)+" bytes")
	}
	if limit := c.maxBody(); r.ContentLength > limit {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "body is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return nil
}
