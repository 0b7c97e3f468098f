package clockanchor

import "time"

const (
	// maxAge is how long an anchor is used. Two clocks that differ in speed by 500 parts in a million, the most that a
	// time service corrects, differ by 0.3 s after that time.
	maxAge = 10 * time.Minute
	// maxSlack is the delay of the first line from which an anchor is replaced soon: all times that it gives are too early
	// by up to that delay. slackMaxAge is how long it is used then.
	maxSlack    = 300 * time.Millisecond
	slackMaxAge = 5 * time.Second
)

// Anchor converts times of the clock of a stream's sender into this host's clock, for one stream.
//
// Lines may be delayed on their way for any time, so their arrival says nothing about when they were sent. The first line
// was surely sent after this host had requested the stream, so a time that the sender's clock shows d after the first
// line is at least d after the request. Times are those of package bootclock, which differ between machines.
type Anchor struct {
	requestedAt time.Duration
	// firstClock is the sender's clock in the first line, zero before it arrives; firstArrival is when it arrived.
	firstClock, firstArrival time.Duration
}

// New returns the Anchor of a stream that is requested right after the given time.
func New(requestedAt time.Duration) *Anchor {
	return &Anchor{requestedAt: requestedAt}
}

// Convert returns the time of a line that the sender's clock gives, no later than it was. The second result is false for
// the first line with a clock, which only sets the anchor since the sender's views come after it, and for lines without a
// time or with one that contradicts the first line.
func (a *Anchor) Convert(now, senderClock, at time.Duration) (time.Duration, bool) {
	switch {
	case senderClock <= 0:
		return 0, false
	case a.firstClock == 0:
		a.firstClock, a.firstArrival = senderClock, now
		return 0, false
	case at <= 0 || at > senderClock || senderClock < a.firstClock:
		return 0, false
	default:
		return a.requestedAt + at - a.firstClock, true
	}
}

// IsExpired reports whether the stream must be requested again to set the anchor anew.
func (a *Anchor) IsExpired(now time.Duration) bool {
	if a.firstClock == 0 {
		return false
	}
	limit := maxAge
	if a.firstArrival-a.requestedAt > maxSlack {
		limit = slackMaxAge
	}
	return now-a.requestedAt > limit
}
