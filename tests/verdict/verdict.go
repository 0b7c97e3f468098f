package verdict

import "poplarhook.example/poplarbench/result"

// Verdict is the result of a demonstration.
type Verdict struct {
	Sent               int64 `json:"sent"`
	Served             int64 `json:"served"`
	NotRun             int64 `json:"not_run"`
	Unknown            int64 `json:"unknown"`
	Broken             int64 `json:"broken"`
	WrongAnswer        int64 `json:"wrong_answer"`
	Lost               int64 `json:"lost"`
	Doubled            int64 `json:"doubled"`
	FalseNotRun        int64 `json:"false_not_run"`
	ServedAgainstClass int64 `json:"served_against_class"`
	ExtraExecutions    int64 `json:"extra_executions"`
	// ZoneOutExecutions counts executions that started after the grace period in the zone that was out of service.
	ZoneOutExecutions int64 `json:"zone_out_executions"`
	// ColdOverloads counts how often a cold endpoint had more requests in flight than it can process.
	ColdOverloads int64   `json:"fell_over"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
	// Failure is the error that ended or disturbed the demonstration, or empty if there was none.
	Failure string `json:"failure,omitempty"`
}

// New returns the verdict for a measured run.
func New(measured result.Result) Verdict {
	return Verdict{
		Sent:               measured.Sent,
		Served:             measured.Served,
		NotRun:             measured.NotRun,
		Unknown:            measured.Unknown,
		Broken:             measured.Broken,
		WrongAnswer:        measured.WrongAnswer,
		Lost:               measured.Lost,
		Doubled:            measured.Doubled,
		FalseNotRun:        measured.FalseNotRun,
		ServedAgainstClass: measured.ServedAgainstClass,
		ExtraExecutions:    measured.ExtraExecutions,
		ColdOverloads:      measured.ColdOverloads,
		P50MS:              measured.P50MS,
		P99MS:              measured.P99MS,
	}
}

// WithZoneOutExecutions returns a copy with the given count of executions in the zone that was out of service.
func (v Verdict) WithZoneOutExecutions(count int64) Verdict {
	v.ZoneOutExecutions = count
	return v
}

// WithFailure returns a copy with the text of an error that occurred.
func (v Verdict) WithFailure(err error) Verdict {
	v.Failure = err.Error()
	return v
}

// HasPassed reports whether requests were served, every request was treated as its class permits, and no error
// occurred.
func (v Verdict) HasPassed() bool {
	broken := v.Lost + v.Doubled + v.FalseNotRun + v.ServedAgainstClass + v.WrongAnswer + v.ZoneOutExecutions
	return v.Failure == "" && v.Served > 0 && broken == 0
}
