package ledger

import "poplarhook.example/poplarbench/execution"

// Ledger holds the records of a set of endpoints since their start.
type Ledger struct {
	Executions []execution.Execution `json:"executions"`
	// FellOver counts the times that a cold endpoint was overloaded: it received more requests than it can handle.
	FellOver int64 `json:"fell_over"`
	// ColdPeakInFlight is the maximum number of requests in flight at any single cold endpoint.
	ColdPeakInFlight int64 `json:"cold_peak_in_flight"`
	// ConnectionsPeak is the maximum number of open connections at any single endpoint.
	ConnectionsPeak int64 `json:"connections_peak"`
}

// Merge returns the records of both sets of endpoints: counts are added, peaks are the higher of the two.
func (l Ledger) Merge(other Ledger) Ledger {
	executions := append([]execution.Execution(nil), l.Executions...)
	return Ledger{
		Executions:       append(executions, other.Executions...),
		FellOver:         l.FellOver + other.FellOver,
		ColdPeakInFlight: max(l.ColdPeakInFlight, other.ColdPeakInFlight),
		ConnectionsPeak:  max(l.ConnectionsPeak, other.ConnectionsPeak),
	}
}

// StartedSince returns the records without the executions that started before a Unix time in microseconds. Counts and
// peaks stay as they are.
func (l Ledger) StartedSince(unixUS int64) Ledger {
	var kept []execution.Execution
	for _, e := range l.Executions {
		if e.StartedUnixUS >= unixUS {
			kept = append(kept, e)
		}
	}
	l.Executions = kept
	return l
}
