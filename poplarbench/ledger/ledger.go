package ledger

import "poplarhook.example/poplarbench/execution"

// Ledger is what a set of endpoints has recorded since its start.
type Ledger struct {
	Executions []execution.Execution `json:"executions"`
	// FellOver counts the times that a cold endpoint received more than it bears.
	FellOver int64 `json:"fell_over"`
	// ColdPeakInFlight is the most requests in flight at any one cold endpoint.
	ColdPeakInFlight int64 `json:"cold_peak_in_flight"`
	// ConnectionsPeak is the most connections open at any one endpoint.
	ConnectionsPeak int64 `json:"connections_peak"`
}

// Plus returns the ledger of both sets: counts are added, peaks are the higher of the two.
func (l Ledger) Plus(other Ledger) Ledger {
	executions := append([]execution.Execution(nil), l.Executions...)
	return Ledger{
		Executions:       append(executions, other.Executions...),
		FellOver:         l.FellOver + other.FellOver,
		ColdPeakInFlight: max(l.ColdPeakInFlight, other.ColdPeakInFlight),
		ConnectionsPeak:  max(l.ConnectionsPeak, other.ConnectionsPeak),
	}
}

// Since returns the ledger without executions that started before a time, in microseconds of Unix time.
func (l Ledger) Since(unixUS int64) Ledger {
	var kept []execution.Execution
	for _, e := range l.Executions {
		if e.StartedUnixUS >= unixUS {
			kept = append(kept, e)
		}
	}
	l.Executions = kept
	return l
}
