package recorder

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
)

// tally holds the counts and the histogram of a set of requests.
type tally struct {
	counts    result.Totals
	histogram *hdrhistogram.Histogram
}

func newTally(digits int) *tally {
	return &tally{histogram: newHistogram(digits)}
}

func (t *tally) add(o outcome.Outcome) {
	t.counts.Sent++
	switch o.Kind {
	case outcome.Served:
		t.counts.Served++
		micros := min(max(o.Latency.Microseconds(), lowestMicros), highestLatency.Microseconds())
		// The value lies within the histogram's bounds, so it is always taken.
		_ = t.histogram.RecordValue(micros)
	case outcome.NotRun:
		t.counts.NotRun++
	case outcome.Unknown:
		t.counts.Unknown++
	case outcome.WrongAnswer:
		t.counts.WrongAnswer++
	default:
		t.counts.Broken++
	}
}

func (t *tally) totals() result.Totals {
	totals := t.counts
	totals.Latency = result.Latency{
		P50MS:  t.percentile(percentileMedian),
		P90MS:  t.percentile(percentile90),
		P99MS:  t.percentile(percentile99),
		P999MS: t.percentile(percentile999),
		MaxMS:  float64(t.histogram.Max()) / microsPerMilli,
	}
	return totals
}

func (t *tally) window(second int64) result.Window {
	return result.Window{
		Second:   second,
		Sent:     t.counts.Sent,
		Served:   t.counts.Served,
		Refusals: t.counts.NotRun + t.counts.Unknown,
		Broken:   t.counts.Broken + t.counts.WrongAnswer,
		P99MS:    t.percentile(percentile99),
	}
}

func (t *tally) percentile(percent float64) float64 {
	return float64(t.histogram.ValueAtQuantile(percent)) / microsPerMilli
}
