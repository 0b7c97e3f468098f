package account

import "poplarhook.example/standin/execution"

// Account is the record of one endpoint, or of several together.
type Account struct {
	Executions         []execution.Execution `json:"executions"`
	FellOver           int                   `json:"fell_over"`
	ColdPeakInFlight   int                   `json:"cold_peak_in_flight"`
	Shed               int                   `json:"shed"`
	CancelledInQueue   int                   `json:"cancelled_in_queue"`
	ConnectionsPeak    int                   `json:"connections_peak"`
	ConnectionsRefused int                   `json:"connections_refused"`
}

// With returns the account of both: counts are added, peaks are the higher of the two.
func (a Account) With(other Account) Account {
	return Account{
		Executions:         append(append([]execution.Execution{}, a.Executions...), other.Executions...),
		FellOver:           a.FellOver + other.FellOver,
		ColdPeakInFlight:   max(a.ColdPeakInFlight, other.ColdPeakInFlight),
		Shed:               a.Shed + other.Shed,
		CancelledInQueue:   a.CancelledInQueue + other.CancelledInQueue,
		ConnectionsPeak:    max(a.ConnectionsPeak, other.ConnectionsPeak),
		ConnectionsRefused: a.ConnectionsRefused + other.ConnectionsRefused,
	}
}
