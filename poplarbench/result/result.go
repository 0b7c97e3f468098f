package result

import "poplarhook.example/poplarbench/ledger"

// Result is the measured result of a run.
type Result struct {
	// Label names the run in tables, such as the policy under test.
	Label      string  `json:"label"`
	Seed       uint64  `json:"seed"`
	RatePerS   float64 `json:"rate_per_s"`
	DurationMS int64   `json:"duration_ms"`
	Targets    int     `json:"targets"`
	// Accounted says that the endpoints' execution records were compared.
	Accounted bool `json:"accounted"`
	Totals
	// LateSends counts requests that the generator itself sent late.
	LateSends int64 `json:"late_sends"`
	// ClientResends counts requests that the generator's HTTP library sent again by itself.
	ClientResends int64             `json:"client_resends"`
	Mix           []EntryTotals     `json:"mix"`
	Windows       []Window          `json:"windows"`
	Executions    []ClassExecutions `json:"executions"`
	// FellOver counts the times that a cold endpoint received more than it bears, since the endpoints started.
	FellOver int64 `json:"fell_over"`
	// ColdPeakInFlight is the most requests in flight at any one cold endpoint, since the endpoints started.
	ColdPeakInFlight int64 `json:"cold_peak_in_flight"`
	// ConnectionsPeak is the most connections open at any one endpoint, since the endpoints started.
	ConnectionsPeak int64 `json:"connections_peak"`
	// ControlBytesPerHostPerS is what each entry host sent to its peers in a second; only benches fill it.
	ControlBytesPerHostPerS float64 `json:"control_bytes_per_host_per_s,omitempty"`
	// Failures counts the reasons of all that was not served.
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
	Account
	Latency
	// RefusalP50MS and RefusalP99MS tell how long callers waited to hear that a request was not run, in milliseconds.
	RefusalP50MS float64 `json:"refusal_p50_ms"`
	RefusalP99MS float64 `json:"refusal_p99_ms"`
}

// Account is what the comparison with the endpoints' records has found.
type Account struct {
	// Lost counts requests served to the caller that no endpoint executed.
	Lost int64 `json:"lost"`
	// Doubled counts once-only requests executed more than once.
	Doubled int64 `json:"doubled"`
	// FalseNotRun counts refusals that said not run although an endpoint executed the request.
	FalseNotRun int64 `json:"false_not_run"`
	// ServedAgainstClass counts requests executed outside their home regions.
	ServedAgainstClass int64 `json:"served_against_class"`
	// ExtraExecutions counts executions of idempotent requests beyond the first of each.
	ExtraExecutions int64 `json:"extra_executions"`
}

// Latency holds percentiles of served requests in milliseconds, from the intended time of sending.
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

// Window is one second of the run, by the intended time of sending.
type Window struct {
	Second int64 `json:"second"`
	Sent   int64 `json:"sent"`
	Served int64 `json:"served"`
	// Refusals counts outcomes not_run and unknown.
	Refusals int64   `json:"refusals"`
	Broken   int64   `json:"broken"`
	P99MS    float64 `json:"p99_ms"`
}

// ClassExecutions counts the executions of one class.
type ClassExecutions struct {
	Class      string `json:"class"`
	Executions int64  `json:"executions"`
}

// Failure counts outcomes of one kind and reason.
type Failure struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// WithAccount returns a copy that holds the account of each entry of the mix and their sum.
func (r Result) WithAccount(accounts []Account) Result {
	r.Accounted = true
	r.Account = Account{}
	mix := make([]EntryTotals, len(r.Mix))
	copy(mix, r.Mix)
	for i, account := range accounts {
		mix[i].Account = account
		r.Account = r.Plus(account)
	}
	r.Mix = mix
	return r
}

// WithLedger returns a copy that holds the executions of each class and how the endpoints bore their load.
func (r Result) WithLedger(classes []ClassExecutions, records ledger.Ledger) Result {
	r.Executions = classes
	r.FellOver = records.FellOver
	r.ColdPeakInFlight = records.ColdPeakInFlight
	r.ConnectionsPeak = records.ConnectionsPeak
	return r
}

// Plus returns the sum of two accounts.
func (a Account) Plus(other Account) Account {
	a.Lost += other.Lost
	a.Doubled += other.Doubled
	a.FalseNotRun += other.FalseNotRun
	a.ServedAgainstClass += other.ServedAgainstClass
	a.ExtraExecutions += other.ExtraExecutions
	return a
}

// IsClean reports whether nothing was lost, doubled, falsely called not run or served against its class.
func (a Account) IsClean() bool {
	return a.Lost == 0 && a.Doubled == 0 && a.FalseNotRun == 0 && a.ServedAgainstClass == 0
}
