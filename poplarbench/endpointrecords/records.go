package endpointrecords

import "poplarhook.example/poplarbench/execution"

// Records holds the records of a set of endpoints since their start.
type Records struct {
	Executions []execution.Execution `json:"executions"`
	// ColdOverloads counts the times that a cold endpoint was overloaded: it received more requests than it can handle.
	ColdOverloads int64 `json:"fell_over"`
	// ColdPeakInFlight is the maximum number of requests in flight at any single cold endpoint.
	ColdPeakInFlight int64 `json:"cold_peak_in_flight"`
	// ConnectionsPeak is the maximum number of open connections at any single endpoint.
	ConnectionsPeak int64 `json:"connections_peak"`
}

// Merge returns the records of both sets of endpoints: counts are added, peaks are the higher of the two.
func (r Records) Merge(other Records) Records {
	executions := append([]execution.Execution(nil), r.Executions...)
	return Records{
		Executions:       append(executions, other.Executions...),
		ColdOverloads:    r.ColdOverloads + other.ColdOverloads,
		ColdPeakInFlight: max(r.ColdPeakInFlight, other.ColdPeakInFlight),
		ConnectionsPeak:  max(r.ConnectionsPeak, other.ConnectionsPeak),
	}
}

// StartedSince returns the records without the executions that started before a Unix time in microseconds. Counts and
// peaks stay as they are.
func (r Records) StartedSince(unixUS int64) Records {
	var kept []execution.Execution
	for _, e := range r.Executions {
		if e.StartedUnixUS >= unixUS {
			kept = append(kept, e)
		}
	}
	r.Executions = kept
	return r
}
