package admitter

import (
	"math"
	"time"

	"poplarhook.example/lib/demand"
)

// meter measures how fast requests leave a queue that has some, and how long they take then.
type meter struct {
	halfLife time.Duration
	minBusy  time.Duration

	at      time.Time
	busy    float64
	started float64
	// startedAt divides the starts by urgency.
	startedAt [urgencies]float64
	mean      float64
	spread    float64
	known     bool
}

const (
	// gain is the weight of a new service time in the average.
	gain = 1.0 / 64
	// urgencies is the number of levels that are told apart.
	urgencies = demand.UrgencyHigh + 1
	// leastShare is the share of starts that a request counts on, however much more urgent work there is.
	leastShare = 0.02
	// spreads is how many mean deviations above the mean a request is taken to need.
	spreads = 2
)

// pass counts the time since the last event, during which the queue was busy or not.
func (m *meter) pass(now time.Time, isBusy bool) {
	elapsed := now.Sub(m.at)
	if isBusy && !m.at.IsZero() && elapsed > 0 {
		fade := math.Exp2(-float64(elapsed) / float64(m.halfLife))
		m.busy = m.busy*fade + elapsed.Seconds()
		m.started *= fade
		for i := range m.startedAt {
			m.startedAt[i] *= fade
		}
	}
	if now.After(m.at) {
		m.at = now
	}
}

func (m *meter) start(urgency int) {
	m.started++
	m.startedAt[level(urgency)]++
}

// share returns the share of starts that is left to what waits, after what will arrive and be served before it.
//
// That is all more urgent work, and half of the equally urgent, whose deadlines may be earlier.
func (m *meter) share(urgency int) float64 {
	if m.started == 0 {
		return 1
	}
	before := m.startedAt[level(urgency)] / 2
	for _, started := range m.startedAt[level(urgency)+1:] {
		before += started
	}
	return max(1-before/m.started, leastShare)
}

// interval returns the mean time between two starts, zero while too little is known.
func (m *meter) interval() time.Duration {
	if m.busy < m.minBusy.Seconds() || m.started < 1 {
		return 0
	}
	return time.Duration(m.busy / m.started * float64(time.Second))
}

func (m *meter) serve(took time.Duration) {
	t := float64(took)
	if !m.known {
		m.known = true
		m.mean = t
		m.spread = t / 2
		return
	}
	m.spread += gain * (math.Abs(t-m.mean) - m.spread)
	m.mean += gain * (t - m.mean)
}

// service returns what a request is taken to need once it has started.
func (m *meter) service() time.Duration {
	return time.Duration(m.mean + spreads*m.spread)
}

func level(urgency int) int {
	return min(max(urgency, 0), urgencies-1)
}
