package hedger

import (
	"math"
	"time"
)

const (
	defaultQuantile = 0.95
	defaultHalfLife = 2 * time.Second
	defaultDeadline = time.Second
	// minSamples is the weight of samples below which nothing is known.
	minSamples = 20
	// medians is how many medians a request waits at least.
	medians = 3
	// shortest is the upper end of the first bucket.
	shortest = 100 * time.Microsecond
	// perDoubling is the number of buckets in which a latency doubles.
	perDoubling = 8
	buckets     = 20 * perDoubling
	// refreshEvery is how long a computed delay is used again.
	refreshEvery = 10 * time.Millisecond
	// maxWeight is where the weights are scaled back, before they lose precision.
	maxWeight = 1 << 40
)

// Option changes a setting of a Hedger.
type Option func(*Hedger)

// WithQuantile sets the share of requests that are answered before the delay.
func WithQuantile(quantile float64) Option {
	return func(h *Hedger) { h.quantile = quantile }
}

// WithHalfLife sets the age at which a latency weighs half.
func WithHalfLife(d time.Duration) Option {
	return func(h *Hedger) { h.halfLife = d }
}

// WithDeadline sets the deadline of the class; a request waits at most half of it.
func WithDeadline(d time.Duration) Option {
	return func(h *Hedger) { h.deadline = d }
}

// Hedger derives from recent latencies of one class when to send a request once more.
//
// A Hedger is not safe for concurrent use.
type Hedger struct {
	quantile float64
	halfLife time.Duration
	deadline time.Duration

	// counts holds weights that grow with time, which makes older ones count for less.
	counts    [buckets]float64
	total     float64
	origin    time.Time
	delay     time.Duration
	delayedAt time.Time
}

// New returns a Hedger that has seen no latency.
func New(options ...Option) *Hedger {
	h := &Hedger{quantile: defaultQuantile, halfLife: defaultHalfLife, deadline: defaultDeadline}
	for _, option := range options {
		option(h)
	}
	return h
}

// Observe counts the latency of a first attempt, or its age when it was given up.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	weight := h.weight(now)
	h.counts[bucketOf(latency)] += weight
	h.total += weight
}

// Delay returns after which time an unanswered request is to be sent once more.
//
// It is half of the deadline as long as too little is known.
func (h *Hedger) Delay(now time.Time) time.Duration {
	if h.delayedAt.IsZero() || now.Sub(h.delayedAt) >= refreshEvery {
		h.delay = h.compute(now)
		h.delayedAt = now
	}
	return h.delay
}

func (h *Hedger) compute(now time.Time) time.Duration {
	most := h.deadline / 2
	if h.total < minSamples*h.weight(now) {
		return most
	}
	median := h.latencyAt(0.5)
	delay := max(h.latencyAt(h.quantile), medians*median)
	return min(delay, most)
}

// latencyAt returns the middle of the bucket that holds the quantile.
func (h *Hedger) latencyAt(quantile float64) time.Duration {
	wanted := quantile * h.total
	sum := 0.0
	for i, count := range h.counts {
		sum += count
		if sum >= wanted {
			return middle(i)
		}
	}
	return middle(buckets - 1)
}

// weight returns what a sample of the present weighs.
func (h *Hedger) weight(now time.Time) float64 {
	if h.origin.IsZero() {
		h.origin = now
	}
	weight := math.Exp2(float64(now.Sub(h.origin)) / float64(h.halfLife))
	if weight <= maxWeight {
		return weight
	}
	for i := range h.counts {
		h.counts[i] /= weight
	}
	h.total /= weight
	h.origin = now
	return 1
}

func bucketOf(latency time.Duration) int {
	if latency <= shortest {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(latency)/float64(shortest)) * perDoubling))
	return min(i, buckets-1)
}

func middle(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2((float64(bucket)-0.5)/perDoubling))
}
