package freshness

import (
	"sync/atomic"
	"time"
)

// acceptedPercent is the part of the bound for which a confirmation holds. The rest is a reserve for differences in the
// speed of two machines' clocks.
const acceptedPercent = 90

// Tracker holds when the configuration in force was last known to be current. All times are times since the machine was
// started, of package bootclock. It is safe for concurrent use.
type Tracker struct {
	maxAge time.Duration
	// confirmedAt is the latest confirmation in nanoseconds, zero if there is none.
	confirmedAt atomic.Int64
}

// New returns a Tracker without a confirmation; the bound is the time after which a revoked key must not be accepted.
func New(bound time.Duration) *Tracker {
	return &Tracker{maxAge: bound * acceptedPercent / 100}
}

// Confirm records at the time now that the configuration in force was current at an earlier time. It ignores a time that
// is not earlier, which no correct source gives, and one before the latest confirmation.
func (t *Tracker) Confirm(now, at time.Duration) {
	if at <= 0 || at > now {
		return
	}
	for {
		latest := t.confirmedAt.Load()
		if int64(at) <= latest || t.confirmedAt.CompareAndSwap(latest, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns the time of the latest confirmation, and false if there is none.
func (t *Tracker) ConfirmedAt() (time.Duration, bool) {
	at := t.confirmedAt.Load()
	return time.Duration(at), at > 0
}

// Age returns how long ago the latest confirmation was, and false if there is none.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	at, confirmed := t.ConfirmedAt()
	return now - at, confirmed
}

// IsFresh reports whether keys may be accepted at the time now.
func (t *Tracker) IsFresh(now time.Duration) bool {
	age, confirmed := t.Age(now)
	return confirmed && age >= 0 && age < t.maxAge
}
