package admitter

import (
	"math"
	"time"

	"poplarhook.example/lib/demand"
)

// meter measures how fast an Admitter's requests are started while its queue is not empty, and how long their service
// takes.
type meter struct {
	halfLife time.Duration
	minBusy  time.Duration

	updatedAt   time.Time
	busySeconds float64
	starts      float64
	// startsByUrgency holds the starts of each urgency level.
	startsByUrgency [urgencyLevels]float64
	// meanServiceTime and serviceTimeDeviation are in nanoseconds.
	meanServiceTime      float64
	serviceTimeDeviation float64
	hasService           bool
}

const (
	// serviceWeight is the weight of a new service time in the moving average.
	serviceWeight = 1.0 / 64
	// urgencyLevels is the number of urgency levels.
	urgencyLevels = demand.UrgencyHigh + 1
	// minShare is the smallest share of starts that is assumed to be left to a request, however many requests are more
	// urgent.
	minShare = 0.02
	// serviceDeviations is how many mean deviations above the mean the expected service time is.
	serviceDeviations = 2
)

// advanceTo moves the meter to the given time; isBusy is true if the queue was not empty since the last event. Only in
// that case, the elapsed time is added to the busy time and the weight of older starts is reduced.
func (m *meter) advanceTo(now time.Time, isBusy bool) {
	elapsed := now.Sub(m.updatedAt)
	if isBusy && !m.updatedAt.IsZero() && elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(m.halfLife))
		m.busySeconds = m.busySeconds*decay + elapsed.Seconds()
		m.starts *= decay
		for i := range m.startsByUrgency {
			m.startsByUrgency[i] *= decay
		}
	}
	if now.After(m.updatedAt) {
		m.updatedAt = now
	}
}

func (m *meter) recordStart(urgency int) {
	m.starts++
	m.startsByUrgency[clampUrgency(urgency)]++
}

// computeShareLeft returns the share of starts that remains for a waiting request of the given urgency, since requests
// that arrive later may be served before it.
//
// All more urgent requests are assumed to be served before it, and half of the equally urgent ones, because their
// deadlines may be earlier.
func (m *meter) computeShareLeft(urgency int) float64 {
	if m.starts == 0 {
		return 1
	}
	ahead := m.startsByUrgency[clampUrgency(urgency)] / 2
	for _, started := range m.startsByUrgency[clampUrgency(urgency)+1:] {
		ahead += started
	}
	return max(1-ahead/m.starts, minShare)
}

// startInterval returns the mean time between two starts, or zero as long as too little has been measured.
func (m *meter) startInterval() time.Duration {
	if m.busySeconds < m.minBusy.Seconds() || m.starts < 1 {
		return 0
	}
	return time.Duration(m.busySeconds / m.starts * float64(time.Second))
}

func (m *meter) recordService(duration time.Duration) {
	t := float64(duration)
	if !m.hasService {
		m.hasService = true
		m.meanServiceTime = t
		m.serviceTimeDeviation = t / 2
		return
	}
	m.serviceTimeDeviation += serviceWeight * (math.Abs(t-m.meanServiceTime) - m.serviceTimeDeviation)
	m.meanServiceTime += serviceWeight * (t - m.meanServiceTime)
}

// expectedServiceTime returns the time that a request is expected to take once it has started.
func (m *meter) expectedServiceTime() time.Duration {
	return time.Duration(m.meanServiceTime + serviceDeviations*m.serviceTimeDeviation)
}

func clampUrgency(urgency int) int {
	return min(max(urgency, 0), urgencyLevels-1)
}
