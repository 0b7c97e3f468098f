package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = 500 * time.Millisecond

// Meter keeps counters and timers by name.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a Meter whose metrics start with the given prefix.
func New(prefix string) *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Count adds one to the counter of the name.
func (m *Meter) Count(name string) {
	m.scope.Counter(name).Inc(1)
}

// CountRequest adds one to the requests of the outcome and class and records the time taken.
func (m *Meter) CountRequest(outcome, class string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"outcome": outcome, "class": class})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// Gauge sets the gauge of the name.
func (m *Meter) Gauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Handler serves the metrics as Prometheus text.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close stops reporting.
func (m *Meter) Close() error {
	return m.closer.Close()
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
