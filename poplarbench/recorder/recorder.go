package recorder

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
)

const (
	highestLatency  = 2 * time.Minute
	precisionDigits = 3
	windowDigits    = 2
	microsPerMilli  = 1000
	lowestMicros    = 1
	percentile50    = 50
	percentile90    = 90
	percentile99    = 99
	percentile999   = 99.9
)

// Recorder aggregates the outcomes of a run. It is not safe for concurrent use.
type Recorder struct {
	scenario  scenario.Scenario
	total     *requestStats
	entries   []*requestStats
	windows   []*requestStats
	failures  []result.Failure
	lateSends int64
	resends   int64
}

// New returns an empty recorder for a run of the scenario.
func New(s scenario.Scenario) *Recorder {
	recorder := &Recorder{scenario: s, total: newRequestStats(precisionDigits)}
	for range s.Mix {
		recorder.entries = append(recorder.entries, newRequestStats(precisionDigits))
	}
	return recorder
}

// Add records one outcome.
func (r *Recorder) Add(o outcome.Outcome) {
	r.total.addOutcome(o)
	r.entries[o.Entry].addOutcome(o)
	r.windowAt(o.Intended).addOutcome(o)
	r.resends += int64(o.Resends)
	if o.IsLate {
		r.lateSends++
	}
	if o.Kind != outcome.Served {
		r.addFailure(string(o.Kind), o.Detail)
	}
}

// Result returns the result of the recorded outcomes, without label, targets and discrepancies.
func (r *Recorder) Result() result.Result {
	measured := result.Result{
		Seed:          r.scenario.Seed,
		RatePerS:      r.scenario.RatePerS,
		DurationMS:    r.scenario.DurationMS,
		Totals:        r.total.totals(),
		LateSends:     r.lateSends,
		ClientResends: r.resends,
		Failures:      slices.Clone(r.failures),
	}
	for i, entry := range r.scenario.Mix {
		measured.Mix = append(measured.Mix, result.EntryTotals{Name: entry.Name, Totals: r.entries[i].totals()})
	}
	for i, window := range r.windows {
		measured.Windows = append(measured.Windows, window.toWindow(int64(i)))
	}
	return measured
}

// windowAt returns the statistics of the second that contains the intended send time.
func (r *Recorder) windowAt(intended time.Duration) *requestStats {
	second := int(intended / time.Second)
	for len(r.windows) <= second {
		r.windows = append(r.windows, newRequestStats(windowDigits))
	}
	return r.windows[second]
}

func (r *Recorder) addFailure(kind, reason string) {
	i, found := slices.BinarySearchFunc(r.failures, kind+" "+reason, func(f result.Failure, key string) int {
		return strings.Compare(f.Kind+" "+f.Reason, key)
	})
	if !found {
		r.failures = slices.Insert(r.failures, i, result.Failure{Kind: kind, Reason: reason})
	}
	r.failures[i].Count++
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestLatency.Microseconds(), digits)
}
