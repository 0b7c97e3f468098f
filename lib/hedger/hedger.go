package hedger

import (
	"math"
	"time"
)

const (
	defaultQuantile = 0.95
	defaultHalfLife = 2 * time.Second
	defaultDeadline = time.Second
	// minSamples is the total weight of samples that is needed to compute a delay, as a multiple of a new sample's
	// weight.
	minSamples = 20
	// minMedians is the shortest delay as a multiple of the median latency.
	minMedians = 3
	// firstBucketEnd is the upper bound of the first bucket.
	firstBucketEnd = 100 * time.Microsecond
	// bucketsPerDoubling is the number of buckets per doubling of the latency.
	bucketsPerDoubling = 8
	bucketCount        = 20 * bucketsPerDoubling
	// refreshInterval is how long a computed delay is reused.
	refreshInterval = 10 * time.Millisecond
	// maxWeight is the weight above which all weights are scaled down, because large weights lose precision.
	maxWeight = 1 << 40
)

// Option changes a setting of a Hedger.
type Option func(*Hedger)

// WithQuantile sets the quantile of the recorded latencies that the hedge's delay is based on.
func WithQuantile(quantile float64) Option {
	return func(h *Hedger) { h.quantile = quantile }
}

// WithHalfLife sets the half-life of the weight of a recorded latency.
func WithHalfLife(d time.Duration) Option {
	return func(h *Hedger) { h.halfLife = d }
}

// WithDeadline sets the deadline of the class; the hedge's delay is at most half of it.
func WithDeadline(d time.Duration) Option {
	return func(h *Hedger) { h.deadline = d }
}

// Hedger computes the delay of hedges from the recent latencies of one class.
//
// A Hedger is not safe for concurrent use.
type Hedger struct {
	quantile float64
	halfLife time.Duration
	deadline time.Duration

	// bucketWeights holds the sum of the weights in each bucket. The weight of a new sample grows with time, so that
	// older samples count for less.
	bucketWeights [bucketCount]float64
	totalWeight   float64
	origin        time.Time
	delay         time.Duration
	computedAt    time.Time
}

// New returns a Hedger without samples.
func New(options ...Option) *Hedger {
	h := &Hedger{quantile: defaultQuantile, halfLife: defaultHalfLife, deadline: defaultDeadline}
	for _, option := range options {
		option(h)
	}
	return h
}

// Observe records the latency of a request's first attempt, or the attempt's age when it was abandoned.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	weight := h.sampleWeight(now)
	h.bucketWeights[bucketIndexOf(latency)] += weight
	h.totalWeight += weight
}

// Delay returns the time after which an unanswered request is to be hedged.
//
// It is half of the class's deadline as long as there are too few samples.
func (h *Hedger) Delay(now time.Time) time.Duration {
	if h.computedAt.IsZero() || now.Sub(h.computedAt) >= refreshInterval {
		h.delay = h.computeDelay(now)
		h.computedAt = now
	}
	return h.delay
}

func (h *Hedger) computeDelay(now time.Time) time.Duration {
	maxDelay := h.deadline / 2
	if h.totalWeight < minSamples*h.sampleWeight(now) {
		return maxDelay
	}
	median := h.latencyQuantile(0.5)
	delay := max(h.latencyQuantile(h.quantile), minMedians*median)
	return min(delay, maxDelay)
}

// latencyQuantile returns the middle of the bucket that contains the quantile of the recorded latencies.
func (h *Hedger) latencyQuantile(quantile float64) time.Duration {
	wanted := quantile * h.totalWeight
	sum := 0.0
	for i, count := range h.bucketWeights {
		sum += count
		if sum >= wanted {
			return middleLatencyOf(i)
		}
	}
	return middleLatencyOf(bucketCount - 1)
}

// sampleWeight returns the weight of a sample taken now. If that would exceed maxWeight, it scales all weights down
// first.
func (h *Hedger) sampleWeight(now time.Time) float64 {
	if h.origin.IsZero() {
		h.origin = now
	}
	weight := math.Exp2(float64(now.Sub(h.origin)) / float64(h.halfLife))
	if weight <= maxWeight {
		return weight
	}
	for i := range h.bucketWeights {
		h.bucketWeights[i] /= weight
	}
	h.totalWeight /= weight
	h.origin = now
	return 1
}

func bucketIndexOf(latency time.Duration) int {
	if latency <= firstBucketEnd {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(latency)/float64(firstBucketEnd)) * bucketsPerDoubling))
	return min(i, bucketCount-1)
}

func middleLatencyOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Exp2((float64(bucket)-0.5)/bucketsPerDoubling))
}
