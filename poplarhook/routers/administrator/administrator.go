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
	defaultPublishTimeout = 10 * time.Second
	maxBodyBytes          = parser.MaxBytes
)

// Publisher publishes configuration changes and reads the accepted configuration.
type Publisher interface {
	Publish(ctx context.Context, change proposal.Proposal) (index.Change, error)
	Check(ctx context.Context, doc document.Document) error
	Index(ctx context.Context) (index.Index, int64, error)
	Snapshot(ctx context.Context) (snapshot.Snapshot, error)
}

// Authorizer finds the team that owns a bearer token.
type Authorizer interface {
	Team(token string) (string, bool)
}

// Administrator is the HTTP handler for operators and monitoring.
type Administrator struct {
	publisher  Publisher
	authorizer Authorizer
	parser     parser.Parser
	router     *mux.Router

	ready          func() error
	live           func() error
	metrics        http.Handler
	state          func(ctx context.Context) any
	status         func(ctx context.Context) status.Status
	zones          func() []zone.Zone
	clock          func() time.Time
	count          func(name string)
	logger         *zap.Logger
	publishTimeout time.Duration
}

// Option configures an Administrator.
type Option func(*Administrator)

// WithReady sets the readiness check; its error is the reason why callers must not be sent to this host.
func WithReady(ready func() error) Option {
	return func(a *Administrator) { a.ready = ready }
}

// WithLive sets the liveness check; its error is the reason why the process does not work.
func WithLive(live func() error) Option {
	return func(a *Administrator) { a.live = live }
}

// WithMetrics sets the handler of /metrics.
func WithMetrics(handler http.Handler) Option {
	return func(a *Administrator) { a.metrics = handler }
}

// WithState sets the source of the state dump; its value is encoded as JSON.
func WithState(state func(ctx context.Context) any) Option {
	return func(a *Administrator) { a.state = state }
}

// WithStatus sets the source of the status of the host.
func WithStatus(source func(ctx context.Context) status.Status) Option {
	return func(a *Administrator) { a.status = source }
}

// WithZones sets the source of the known availability zones.
func WithZones(zones func() []zone.Zone) Option {
	return func(a *Administrator) { a.zones = zones }
}

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(a *Administrator) { a.clock = clock }
}

// WithCounter sets the function that counts answers, by names such as admin_refused.
func WithCounter(count func(name string)) Option {
	return func(a *Administrator) { a.count = count }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(a *Administrator) { a.logger = logger }
}

// WithPublishTimeout limits the time that a request waits until its change is accepted.
func WithPublishTimeout(limit time.Duration) Option {
	return func(a *Administrator) { a.publishTimeout = limit }
}

// New returns an Administrator that publishes with the publisher and finds teams with the authorizer.
func New(p Publisher, auth Authorizer, options ...Option) *Administrator {
	a := &Administrator{
		publisher:      p,
		authorizer:     auth,
		parser:         parser.New(),
		ready:          func() error { return nil },
		live:           func() error { return nil },
		metrics:        http.NotFoundHandler(),
		state:          func(context.Context) any { return struct{}{} },
		status:         func(context.Context) status.Status { return status.Status{} },
		zones:          func() []zone.Zone { return nil },
		clock:          time.Now,
		count:          func(string) {},
		logger:         zap.NewNop(),
		publishTimeout: defaultPublishTimeout,
	}
	for _, option := range options {
		option(a)
	}
	a.router = a.routes()
	return a
}

// ServeHTTP handles one request of an operator or a monitoring system.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	a.router.ServeHTTP(w, r)
}

func (a *Administrator) routes() *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", a.metrics).Methods(http.MethodGet)
	router.HandleFunc("/readyz", healthHandler(a.ready)).Methods(http.MethodGet)
	router.HandleFunc("/livez", healthHandler(a.live)).Methods(http.MethodGet)
	router.HandleFunc("/debug/state", a.operatorsOnly(a.dumpState)).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", a.anyTeam(a.getConfig)).Methods(http.MethodGet)
	router.HandleFunc("/v1/teams/{team}/document", a.ownerOrOperators(a.getDocument)).Methods(http.MethodGet)
	router.HandleFunc("/v1/teams/{team}/document", a.ownerOnly(a.replaceDocument)).Methods(http.MethodPut)
	router.HandleFunc("/v1/changes", a.anyTeam(a.listChanges)).Methods(http.MethodGet)
	router.HandleFunc("/v1/changes/{id}", a.anyTeam(a.getChange)).Methods(http.MethodGet)
	router.HandleFunc("/v1/zones-out/{zone}", a.operatorsOnly(a.takeZoneOut)).Methods(http.MethodPut)
	router.HandleFunc("/v1/zones-out/{zone}", a.operatorsOnly(a.bringZoneBack)).Methods(http.MethodDelete)
	router.HandleFunc("/v1/zones", a.anyTeam(a.listZones)).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", a.anyTeam(a.reportStatus)).Methods(http.MethodGet)
	router.NotFoundHandler = refuseWith(http.StatusNotFound, problem.CodeNotFound, "no such resource")
	router.MethodNotAllowedHandler = refuseWith(http.StatusMethodNotAllowed, problem.CodeNoMethod, "the resource does not have this method")
	return router
}

func refuseWith(status int, code, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		problem.New(status, code, detail).Write(w)
	})
}
