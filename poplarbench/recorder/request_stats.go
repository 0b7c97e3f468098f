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
	// servedLatencies holds the latencies of served requests.
	servedLatencies *hdrhistogram.Histogram
	// refusalLatencies holds the latencies of requests that were refused without being run.
	refusalLatencies *hdrhistogram.Histogram
}

func newRequestStats(digits int) *requestStats {
	return &requestStats{servedLatencies: newHistogram(digits), refusalLatencies: newHistogram(digits)}
}

func (s *requestStats) addOutcome(o outcome.Outcome) {
	s.counts.Sent++
	switch o.Kind {
	case outcome.Served:
		s.counts.Served++
		recordLatency(s.servedLatencies, o.Latency)
	case outcome.NotRun:
		s.counts.NotRun++
		recordLatency(s.refusalLatencies, o.Latency)
	case outcome.Unknown:
		s.counts.Unknown++
	case outcome.WrongAnswer:
		s.counts.WrongAnswer++
	default:
		s.counts.Broken++
	}
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), lowestMicros), highestLatency.Microseconds())
	// The value lies within the bounds of the histogram, so RecordValue cannot fail.
	_ = histogram.RecordValue(micros)
}

func (s *requestStats) totals() result.Totals {
	totals := s.counts
	totals.Latency = result.Latency{
		P50MS:  percentileOf(s.servedLatencies, percentile50),
		P90MS:  percentileOf(s.servedLatencies, percentile90),
		P99MS:  percentileOf(s.servedLatencies, percentile99),
		P999MS: percentileOf(s.servedLatencies, percentile999),
		MaxMS:  float64(s.servedLatencies.Max()) / microsPerMilli,
	}
	totals.RefusalP50MS = percentileOf(s.refusalLatencies, percentile50)
	totals.RefusalP99MS = percentileOf(s.refusalLatencies, percentile99)
	return totals
}

func (s *requestStats) toWindow(second int64) result.Window {
	return result.Window{
		Second:   second,
		Sent:     s.counts.Sent,
		Served:   s.counts.Served,
		Refusals: s.counts.NotRun + s.counts.Unknown,
		Broken:   s.counts.Broken + s.counts.WrongAnswer,
		P99MS:    percentileOf(s.servedLatencies, percentile99),
	}
}

func percentileOf(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}
