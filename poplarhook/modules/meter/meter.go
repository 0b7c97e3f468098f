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

// Meter keeps counters, gauges and histograms by name.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a Meter that starts the name of each metric with the prefix.
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

// Count adds one to the counter with the name.
func (m *Meter) Count(name string) {
	m.scope.Counter(name).Inc(1)
}

// CountRequest counts one request with the outcome and class, and records its duration.
func (m *Meter) CountRequest(outcome, class string, duration time.Duration) {
	scope := m.scope.Tagged(map[string]string{"outcome": outcome, "class": class})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(duration)
}

// Gauge sets the gauge with the name to the value.
func (m *Meter) Gauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports the last values and stops the periodic report.
func (m *Meter) Close() error {
	return m.closer.Close()
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
