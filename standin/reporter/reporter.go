package reporter

import (
	"sync"
	"time"

	"poplarhook.example/standin/loadreport"
)

// Reporter remembers the reports of the last while.
type Reporter struct {
	mu    sync.Mutex
	notes []note
}

type note struct {
	at     time.Time
	report loadreport.Report
}

// New returns a reporter that knows no report.
func New() *Reporter {
	return &Reporter{}
}

// Note adds the report that is true from now on, and returns the one that was true the lag ago, or the oldest known.
func (r *Reporter) Note(now time.Time, report loadreport.Report, lag time.Duration) loadreport.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note{at: now, report: report})
	shown := 0
	for shown+1 < len(r.notes) && !r.notes[shown+1].at.After(now.Add(-lag)) {
		shown++
	}
	r.notes = r.notes[shown:]
	return r.notes[0].report
}
