package recorder

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
)

// tally holds the counts and the histogram of a set of requests.
type tally struct {
	counts    result.Totals
	histogram *hdrhistogram.Histogram
	// refusals holds the latencies of requests refused as not run.
	refusals *hdrhistogram.Histogram
}

func newTally(digits int) *tally {
	return &tally{histogram: newHistogram(digits), refusals: newHistogram(digits)}
}

func (t *tally) add(o outcome.Outcome) {
	t.counts.Sent++
	switch o.Kind {
	case outcome.Served:
		t.counts.Served++
		observe(t.histogram, o.Latency)
	case outcome.NotRun:
		t.counts.NotRun++
		observe(t.refusals, o.Latency)
	case outcome.Unknown:
		t.counts.Unknown++
	case outcome.WrongAnswer:
		t.counts.WrongAnswer++
	default:
		t.counts.Broken++
	}
}

func observe(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), lowestMicros), highestLatency.Microseconds())
	// The value lies within the histogram's bounds, so it is always taken.
	_ = histogram.RecordValue(micros)
}

func (t *tally) totals() result.Totals {
	totals := t.counts
	totals.Latency = result.Latency{
		P50MS:  percentileOf(t.histogram, percentileMedian),
		P90MS:  percentileOf(t.histogram, percentile90),
		P99MS:  percentileOf(t.histogram, percentile99),
		P999MS: percentileOf(t.histogram, percentile999),
		MaxMS:  float64(t.histogram.Max()) / microsPerMilli,
	}
	totals.RefusalP50MS = percentileOf(t.refusals, percentileMedian)
	totals.RefusalP99MS = percentileOf(t.refusals, percentile99)
	return totals
}

func (t *tally) window(second int64) result.Window {
	return result.Window{
		Second:   second,
		Sent:     t.counts.Sent,
		Served:   t.counts.Served,
		Refusals: t.counts.NotRun + t.counts.Unknown,
		Broken:   t.counts.Broken + t.counts.WrongAnswer,
		P99MS:    percentileOf(t.histogram, percentile99),
	}
}

func percentileOf(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}
