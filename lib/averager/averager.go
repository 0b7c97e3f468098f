package averager

import "time"

// weight is that of one duration in the mean; some twenty count.
const weight = 0.05

// Averager keeps moving means by key; it is not safe for concurrent use.
type Averager struct {
	outlier float64
	means   map[string]time.Duration
}

// Option changes how an Averager is built.
type Option func(*Averager)

// WithOutlier lets one duration count for at most so many times the mean.
func WithOutlier(times float64) Option {
	return func(a *Averager) { a.outlier = times }
}

// New returns an Averager without durations.
func New(options ...Option) *Averager {
	a := &Averager{means: make(map[string]time.Duration)}
	for _, option := range options {
		option(a)
	}
	return a
}

// Record takes in a duration.
func (a *Averager) Record(key string, d time.Duration) {
	mean, known := a.means[key]
	if !known {
		a.means[key] = d
		return
	}
	if a.outlier > 0 {
		d = min(d, time.Duration(a.outlier*float64(mean)))
	}
	a.means[key] = mean + time.Duration(weight*float64(d-mean))
}

// Mean returns the key's mean and whether there is any.
func (a *Averager) Mean(key string) (time.Duration, bool) {
	mean, known := a.means[key]
	return mean, known
}
