package account

import "poplarhook.example/standin/execution"

// Account holds the executions and counters of one endpoint, or of several endpoints merged.
type Account struct {
	Executions         []execution.Execution `json:"executions"`
	Crashes            int                   `json:"fell_over"`
	ColdPeakInFlight   int                   `json:"cold_peak_in_flight"`
	Shed               int                   `json:"shed"`
	CancelledInQueue   int                   `json:"cancelled_in_queue"`
	ConnectionsPeak    int                   `json:"connections_peak"`
	ConnectionsRefused int                   `json:"connections_refused"`
}

// Merge returns the combined account: executions are joined, counts are added, and peaks are the higher of the two.
func (a Account) Merge(other Account) Account {
	return Account{
		Executions:         append(append([]execution.Execution{}, a.Executions...), other.Executions...),
		Crashes:            a.Crashes + other.Crashes,
		ColdPeakInFlight:   max(a.ColdPeakInFlight, other.ColdPeakInFlight),
		Shed:               a.Shed + other.Shed,
		CancelledInQueue:   a.CancelledInQueue + other.CancelledInQueue,
		ConnectionsPeak:    max(a.ConnectionsPeak, other.ConnectionsPeak),
		ConnectionsRefused: a.ConnectionsRefused + other.ConnectionsRefused,
	}
}
