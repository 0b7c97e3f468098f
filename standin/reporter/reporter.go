package reporter

import (
	"sync"
	"time"

	"poplarhook.example/standin/loadreport"
)

// Reporter keeps recent load reports, so that it can return a report of a past time.
type Reporter struct {
	mu      sync.Mutex
	entries []timedReport
}

type timedReport struct {
	at     time.Time
	report loadreport.Report
}

// New returns a reporter without reports.
func New() *Reporter {
	return &Reporter{}
}

// Record adds the report that applies from now on. It returns the report that applied at the time now minus lag, or the
// oldest known report when there is none.
func (r *Reporter) Record(now time.Time, report loadreport.Report, lag time.Duration) loadreport.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, timedReport{at: now, report: report})
	index := 0
	for index+1 < len(r.entries) && !r.entries[index+1].at.After(now.Add(-lag)) {
		index++
	}
	r.entries = r.entries[index:]
	return r.entries[0].report
}
