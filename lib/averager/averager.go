package averager

import "time"

// newWeight is the weight of a new duration in the mean, which averages over about twenty durations.
const newWeight = 0.05

// Averager computes a moving mean of durations per key; it is not safe for concurrent use.
type Averager struct {
	outlierFactor float64
	means         map[string]time.Duration
}

// Option changes a setting of an Averager.
type Option func(*Averager)

// WithOutlier limits each recorded duration to the given multiple of the current mean.
func WithOutlier(factor float64) Option {
	return func(a *Averager) { a.outlierFactor = factor }
}

// New returns an Averager without durations.
func New(options ...Option) *Averager {
	a := &Averager{means: make(map[string]time.Duration)}
	for _, option := range options {
		option(a)
	}
	return a
}

// Record adds a duration to the moving mean of the key; the first one becomes the mean.
func (a *Averager) Record(key string, d time.Duration) {
	mean, known := a.means[key]
	if !known {
		a.means[key] = d
		return
	}
	if a.outlierFactor > 0 {
		d = min(d, time.Duration(a.outlierFactor*float64(mean)))
	}
	a.means[key] = mean + time.Duration(newWeight*float64(d-mean))
}

// Mean returns the moving mean of the key and whether a duration has been recorded for the key.
func (a *Averager) Mean(key string) (time.Duration, bool) {
	mean, known := a.means[key]
	return mean, known
}
