package result

import "poplarhook.example/poplarbench/endpointrecords"

// Result is the measured result of a run.
type Result struct {
	// Label names the run in tables, for example by the policy under test.
	Label      string  `json:"label"`
	Seed       uint64  `json:"seed"`
	RatePerS   float64 `json:"rate_per_s"`
	DurationMS int64   `json:"duration_ms"`
	Targets    int     `json:"targets"`
	// Accounted is true if the outcomes were compared with the endpoints' execution records.
	Accounted bool `json:"accounted"`
	Totals
	// LateSends counts requests that the load generator sent later than intended.
	LateSends int64 `json:"late_sends"`
	// ClientResends counts how often the load generator's HTTP library resent a request on its own.
	ClientResends int64             `json:"client_resends"`
	Mix           []EntryTotals     `json:"mix"`
	Windows       []Window          `json:"windows"`
	Executions    []ClassExecutions `json:"executions"`
	// ColdOverloads counts the times that a cold endpoint received more requests than it can handle, since the endpoints
	// started.
	ColdOverloads int64 `json:"fell_over"`
	// ColdPeakInFlight is the maximum number of requests in flight at any single cold endpoint since the endpoints
	// started.
	ColdPeakInFlight int64 `json:"cold_peak_in_flight"`
	// ConnectionsPeak is the maximum number of open connections at any single endpoint since the endpoints started.
	ConnectionsPeak int64 `json:"connections_peak"`
	// ControlBytesPerHostPerS is the number of bytes per second that each entry host sent to its peers. Only benchmarks
	// set it.
	ControlBytesPerHostPerS float64 `json:"control_bytes_per_host_per_s,omitempty"`
	// Failures counts the requests that were not served, by kind and reason.
	Failures []Failure `json:"failures,omitempty"`
}

// Totals are the counts and latencies of a set of requests.
type Totals struct {
	Sent        int64 `json:"sent"`
	Served      int64 `json:"served"`
	NotRun      int64 `json:"not_run"`
	Unknown     int64 `json:"unknown"`
	Broken      int64 `json:"broken"`
	WrongAnswer int64 `json:"wrong_answer"`
	Discrepancies
	Latency
	// RefusalP50MS and RefusalP99MS are percentiles of the latency of refusals that state that the request was not run,
	// in milliseconds.
	RefusalP50MS float64 `json:"refusal_p50_ms"`
	RefusalP99MS float64 `json:"refusal_p99_ms"`
}

// Discrepancies counts the discrepancies between the outcomes that callers saw and the endpoints' execution records.
type Discrepancies struct {
	// Lost counts requests that were answered as served although no endpoint executed them.
	Lost int64 `json:"lost"`
	// Doubled counts once-only requests that were executed more than once.
	Doubled int64 `json:"doubled"`
	// FalseNotRun counts refusals that stated that the request was not run although an endpoint executed it.
	FalseNotRun int64 `json:"false_not_run"`
	// ServedAgainstClass counts requests that were executed outside their home regions.
	ServedAgainstClass int64 `json:"served_against_class"`
	// ExtraExecutions counts the executions beyond the first of requests that are not once-only.
	ExtraExecutions int64 `json:"extra_executions"`
}

// Latency holds latency percentiles of served requests in milliseconds, measured from the intended send time.
type Latency struct {
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p99_9_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// EntryTotals are the totals of one entry of the mix.
type EntryTotals struct {
	Name string `json:"name"`
	Totals
}

// Window holds the requests of one second of the run, by their intended send time.
type Window struct {
	Second int64 `json:"second"`
	Sent   int64 `json:"sent"`
	Served int64 `json:"served"`
	// Refusals counts the outcomes not_run and unknown.
	Refusals int64   `json:"refusals"`
	Broken   int64   `json:"broken"`
	P99MS    float64 `json:"p99_ms"`
}

// ClassExecutions counts the executions of one class.
type ClassExecutions struct {
	Class      string `json:"class"`
	Executions int64  `json:"executions"`
}

// Failure counts the outcomes of one kind and reason.
type Failure struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// WithDiscrepancies returns a copy with the discrepancies of each entry of the mix and their sum.
func (r Result) WithDiscrepancies(discrepancies []Discrepancies) Result {
	r.Accounted = true
	r.Discrepancies = Discrepancies{}
	mix := make([]EntryTotals, len(r.Mix))
	copy(mix, r.Mix)
	for i, found := range discrepancies {
		mix[i].Discrepancies = found
		r.Discrepancies = r.Plus(found)
	}
	r.Mix = mix
	return r
}

// WithRecords returns a copy with the number of executions of each class and the overloads and peaks that the endpoints
// recorded.
func (r Result) WithRecords(classes []ClassExecutions, records endpointrecords.Records) Result {
	r.Executions = classes
	r.ColdOverloads = records.ColdOverloads
	r.ColdPeakInFlight = records.ColdPeakInFlight
	r.ConnectionsPeak = records.ConnectionsPeak
	return r
}

// Plus returns the sum of both.
func (a Discrepancies) Plus(other Discrepancies) Discrepancies {
	a.Lost += other.Lost
	a.Doubled += other.Doubled
	a.FalseNotRun += other.FalseNotRun
	a.ServedAgainstClass += other.ServedAgainstClass
	a.ExtraExecutions += other.ExtraExecutions
	return a
}

// IsClean reports whether no request was lost, doubled, falsely reported as not run or executed outside its home
// regions. Extra executions are allowed.
func (a Discrepancies) IsClean() bool {
	return a.Lost == 0 && a.Doubled == 0 && a.FalseNotRun == 0 && a.ServedAgainstClass == 0
}
