package administrator

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/status"
	"poplarhook.example/lib/zone"
)

const (
	defaultPublishLimit = 10 * time.Second
	maxBody             = parser.MaxBytes
)

// Publisher gets changes accepted and reads the accepted configuration.
type Publisher interface {
	Publish(ctx context.Context, wanted proposal.Proposal) (index.Change, error)
	Check(ctx context.Context, doc document.Document) error
	Index(ctx context.Context) (index.Index, int64, error)
	Snapshot(ctx context.Context) (snapshot.Snapshot, error)
}

// Authorizer finds the team of a bearer token.
type Authorizer interface {
	Team(token string) (string, bool)
}

// Administrator is the handler of the operators' side.
type Administrator struct {
	publisher  Publisher
	authorizer Authorizer
	parser     parser.Parser
	router     *mux.Router

	ready   func() error
	live    func() error
	metrics http.Handler
	state   func(ctx context.Context) any
	status  func(ctx context.Context) status.Status
	zones   func() []zone.Zone
	clock   func() time.Time
	count   func(name string)
	logger  *zap.Logger
	limit   time.Duration
}

// Option changes how an Administrator is built.
type Option func(*Administrator)

// WithReady sets what tells whether callers may be sent here; the error says why not.
func WithReady(ready func() error) Option {
	return func(a *Administrator) { a.ready = ready }
}

// WithLive sets what tells whether the process works; the error says why not.
func WithLive(live func() error) Option {
	return func(a *Administrator) { a.live = live }
}

// WithMetrics sets the handler of /metrics.
func WithMetrics(handler http.Handler) Option {
	return func(a *Administrator) { a.metrics = handler }
}

// WithState sets the source of the state dump, a value that encodes as JSON.
func WithState(state func(ctx context.Context) any) Option {
	return func(a *Administrator) { a.state = state }
}

// WithStatus sets the source of the status.
func WithStatus(source func(ctx context.Context) status.Status) Option {
	return func(a *Administrator) { a.status = source }
}

// WithZones sets the source of the known availability zones.
func WithZones(zones func() []zone.Zone) Option {
	return func(a *Administrator) { a.zones = zones }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(a *Administrator) { a.clock = clock }
}

// WithCounter sets where answers are counted, by names such as admin_refused.
func WithCounter(count func(name string)) Option {
	return func(a *Administrator) { a.count = count }
}

// WithLogger sets the log.
func WithLogger(logger *zap.Logger) Option {
	return func(a *Administrator) { a.logger = logger }
}

// WithPublishLimit bounds the time that one change may take to be accepted.
func WithPublishLimit(limit time.Duration) Option {
	return func(a *Administrator) { a.limit = limit }
}

// New returns an Administrator.
func New(p Publisher, auth Authorizer, options ...Option) *Administrator {
	a := &Administrator{
		publisher:  p,
		authorizer: auth,
		parser:     parser.New(),
		ready:      func() error { return nil },
		live:       func() error { return nil },
		metrics:    http.NotFoundHandler(),
		state:      func(context.Context) any { return struct{}{} },
		status:     func(context.Context) status.Status { return status.Status{} },
		zones:      func() []zone.Zone { return nil },
		clock:      time.Now,
		count:      func(string) {},
		logger:     zap.NewNop(),
		limit:      defaultPublishLimit,
	}
	for _, option := range options {
		option(a)
	}
	a.router = a.routes()
	return a
}

// ServeHTTP answers one request of an operator or a monitor.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	a.router.ServeHTTP(w, r)
}

func (a *Administrator) routes() *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", a.metrics).Methods(http.MethodGet)
	router.HandleFunc("/readyz", probe(a.ready)).Methods(http.MethodGet)
	router.HandleFunc("/livez", probe(a.live)).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", a.operators(a.dump)).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", a.anyTeam(a.config)).Methods(http.MethodGet)
	router.HandleFunc("/v1/teams/{team}/document", a.reader(a.document)).Methods(http.MethodGet)
	router.HandleFunc("/v1/teams/{team}/document", a.owner(a.replace)).Methods(http.MethodPut)
	router.HandleFunc("/v1/changes", a.anyTeam(a.changes)).Methods(http.MethodGet)
	router.HandleFunc("/v1/changes/{id}", a.anyTeam(a.change)).Methods(http.MethodGet)
	router.HandleFunc("/v1/zones-out/{zone}", a.operators(a.zoneOut)).Methods(http.MethodPut)
	router.HandleFunc("/v1/zones-out/{zone}", a.operators(a.zoneIn)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/zones", a.anyTeam(a.listZones)).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", a.anyTeam(a.reportStatus)).Methods(http.MethodGet)
	router.NotFoundHandler = refuseAll(http.StatusNotFound, "no such resource")
	router.MethodNotAllowedHandler = refuseAll(http.StatusMethodNotAllowed, "the resource does not have this method")
	return router
}

func refuseAll(code int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		problem.New(code, problem.CodeNotFound, detail).Write(w)
	})
}
