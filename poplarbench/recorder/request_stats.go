package recorder

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/result"
)

// requestStats holds the counts and latency histograms of a set of requests.
type requestStats struct {
	counts result.Totals
	// histogram holds the latencies of served requests.
	histogram *hdrhistogram.Histogram
	// refusals holds the latencies of requests that were refused without being run.
	refusals *hdrhistogram.Histogram
}

func newRequestStats(digits int) *requestStats {
	return &requestStats{histogram: newHistogram(digits), refusals: newHistogram(digits)}
}

func (t *requestStats) add(o outcome.Outcome) {
	t.counts.Sent++
	switch o.Kind {
	case outcome.Served:
		t.counts.Served++
		recordLatency(t.histogram, o.Latency)
	case outcome.NotRun:
		t.counts.NotRun++
		recordLatency(t.refusals, o.Latency)
	case outcome.Unknown:
		t.counts.Unknown++
	case outcome.WrongAnswer:
		t.counts.WrongAnswer++
	default:
		t.counts.Broken++
	}
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), lowestMicros), highestLatency.Microseconds())
	// The value lies within the bounds of the histogram, so RecordValue cannot fail.
	_ = histogram.RecordValue(micros)
}

func (t *requestStats) totals() result.Totals {
	totals := t.counts
	totals.Latency = result.Latency{
		P50MS:  percentileOf(t.histogram, percentile50),
		P90MS:  percentileOf(t.histogram, percentile90),
		P99MS:  percentileOf(t.histogram, percentile99),
		P999MS: percentileOf(t.histogram, percentile999),
		MaxMS:  float64(t.histogram.Max()) / microsPerMilli,
	}
	totals.RefusalP50MS = percentileOf(t.refusals, percentile50)
	totals.RefusalP99MS = percentileOf(t.refusals, percentile99)
	return totals
}

func (t *requestStats) toWindow(second int64) result.Window {
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
