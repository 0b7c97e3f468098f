package loadreport

import "encoding/json"

// Header is the name of the HTTP header that contains a report.
const Header = "Endpoint-Load-Metrics"

// Report is an ORCA load report in its JSON form.
type Report struct {
	ApplicationUtilization float64 `json:"application_utilization"`
	NamedMetrics           metrics `json:"named_metrics"`
	Incarnation            string  `json:"incarnation"`
}

type metrics struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Cold     int `json:"cold"`
	Leaving  int `json:"leaving"`
}

// New returns the report of an endpoint with the given number of slots, of which running are in use.
func New(incarnation string, slots, running, inFlight int, cold, leaving bool) Report {
	return Report{
		ApplicationUtilization: float64(running) / float64(max(slots, 1)),
		NamedMetrics:           metrics{InFlight: inFlight, Slots: slots, Cold: boolToInt(cold), Leaving: boolToInt(leaving)},
		Incarnation:            incarnation,
	}
}

// AsIdleAndWarm returns a copy of the report that falsely states that the endpoint is idle and warm.
func (r Report) AsIdleAndWarm() Report {
	r.ApplicationUtilization = 0
	r.NamedMetrics.InFlight = 0
	r.NamedMetrics.Cold = 0
	return r
}

// String returns the value of the header for the report.
func (r Report) String() string {
	text, err := json.Marshal(r)
	if err != nil {
		return "JSON {}"
	}
	return "JSON " + string(text)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
