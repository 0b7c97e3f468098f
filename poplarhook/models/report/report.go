package report

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Header is the name of the load report's header, as published with Open Request Cost Aggregation (ORCA).
const Header = "Endpoint-Load-Metrics"

const jsonPrefix = "JSON "

// Report is what one exchange showed about its endpoint.
type Report struct {
	// Latency is the time from sending the request to receiving the complete answer.
	Latency time.Duration
	// Err is nil when the endpoint gave a complete answer.
	Err error
	// Cancelled is true when this host cancelled the exchange before its end.
	Cancelled bool
	// Unsent is true when no byte of the request left this host.
	Unsent bool
	// Status is the answer's status code, zero without an answer.
	Status int
	// Closing is true when the endpoint asked to close the connection.
	Closing bool
	// HasLoad is true when the answer had a load report. The fields from Incarnation to ColdFor hold its content.
	HasLoad     bool
	Incarnation string
	Utilization float64
	Cold        bool
	Leaving     bool
	InFlight    int
	Slots       int
	// Waiting is how many requests wait for a slot at the endpoint.
	Waiting int
	// SlowFactor is the slow factor: 1 when requests take as long as usual, 2 when twice as long, zero when not reported.
	SlowFactor float64
	// ColdFor is how much longer the endpoint is cold, zero when not reported.
	ColdFor time.Duration
	// QuietFor is for how long the endpoint wants no requests from this host, zero when it said nothing.
	QuietFor time.Duration
	// Refused is true when the endpoint guarantees that it did not run the request.
	Refused bool
	// Misdirected is true when another endpoint answered at the address.
	Misdirected bool
	// Mismatched is true when the answer does not belong to this request.
	Mismatched bool
	// Unidentified is true when the answer names no request and must not be believed if it may belong to an earlier one
	// on its connection.
	Unidentified bool
}

type orca struct {
	ApplicationUtilization float64 `json:"application_utilization"`
	NamedMetrics           metrics `json:"named_metrics"`
	Incarnation            string  `json:"incarnation"`
}

type metrics struct {
	InFlight float64 `json:"in_flight"`
	Slots    float64 `json:"slots"`
	Cold     float64 `json:"cold"`
	Leaving  float64 `json:"leaving"`
}

// FromHeader returns a report with the content of the answer's status and headers.
func FromHeader(status int, header http.Header) Report {
	r := Report{Status: status, Closing: strings.EqualFold(header.Get("Connection"), "close")}
	text, ok := strings.CutPrefix(header.Get(Header), jsonPrefix)
	if !ok {
		return r
	}
	var o orca
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		return r
	}
	r.HasLoad = true
	r.Incarnation = o.Incarnation
	r.Utilization = o.ApplicationUtilization
	r.Cold = o.NamedMetrics.Cold != 0
	r.Leaving = o.NamedMetrics.Leaving != 0
	r.InFlight = int(o.NamedMetrics.InFlight)
	r.Slots = int(o.NamedMetrics.Slots)
	return r
}

// WithResult returns a copy with the exchange's latency and error.
func (r Report) WithResult(latency time.Duration, err error) Report {
	r.Latency = latency
	r.Err = err
	return r
}
