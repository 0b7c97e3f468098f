package probebudget

import "time"

// burstWindow is how long unused probes accumulate: a burst may use the probes of this time at once.
const burstWindow = 2 * time.Second

// Budget is a token bucket for probes. It is not safe for concurrent use.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a Budget that is full at the first call of Take.
func New() *Budget {
	return &Budget{}
}

// Take returns how many of the wanted probes may be sent now, at a rate of perSecond probes per second. With a rate of
// zero or less there is no limit.
func (b *Budget) Take(now time.Time, perSecond float64, wanted int) int {
	if perSecond <= 0 {
		return wanted
	}
	capacity := perSecond * burstWindow.Seconds()
	if b.refilledAt.IsZero() {
		b.tokens = capacity
	} else {
		b.tokens = min(b.tokens+perSecond*now.Sub(b.refilledAt).Seconds(), capacity)
	}
	b.refilledAt = now
	granted := min(wanted, max(int(b.tokens), 0))
	b.tokens -= float64(granted)
	return granted
}
