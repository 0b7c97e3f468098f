package screener

import "time"

const (
	// lingerTime is how long after the last write, or after the client was last seen to receive something, a connection
	// that is being closed waits for its client.
	lingerTime = 2 * time.Second
	// maxLingerTime bounds that wait for a client that receives slowly.
	maxLingerTime = 30 * time.Second
	// maxLingerBytes is how many bytes of a client are read and discarded meanwhile, as many as net/http reads of the rest
	// of a body.
	maxLingerBytes = 256 << 10
	// lingerPollInterval is the time between two looks at the socket while nothing is read from it.
	lingerPollInterval = 20 * time.Millisecond
)

// lingering decides for how long a connection that is being closed waits for its client.
//
// It serves clients that still send requests while a large response is on its way to them. The kernel answers bytes for
// a closed socket with a reset and discards the rest of the response.
type lingering struct {
	// until is when the wait ends unless the client receives something, and limit when it ends in any case.
	until time.Time
	limit time.Time
	// resets is true if the connection ends with a reset, which the client must not get before the responses.
	resets bool
	// discarded is the number of bytes that were read, and hasEnded true if the client sends no more.
	discarded int
	hasEnded  bool
	// unacknowledged is how much the client had not received at the last look, negative before the first one.
	unacknowledged int
}

// newLingering returns the wait of a connection that is closed now and was last written to at the given time.
func newLingering(now, lastWrite time.Time, resets, hasEnded bool) lingering {
	return lingering{until: lastWrite.Add(lingerTime), limit: now.Add(maxLingerTime), resets: resets, hasEnded: hasEnded, unacknowledged: -1}
}

// reads reports whether the client's bytes are still read. Unread ones fill the buffer of the socket, so that the client
// stops sending.
func (l *lingering) reads() bool {
	return !l.hasEnded && l.discarded < maxLingerBytes
}

// next returns when to look at the socket again, and false if the wait has ended. Unacknowledged is how many bytes the
// client has not received, negative if that is not known.
func (l *lingering) next(now time.Time, unacknowledged int) (time.Time, bool) {
	switch {
	case l.hasEnded && !l.resets:
		// The client cannot send anything that would be answered with a reset.
		return now, false
	case unacknowledged == 0 && (l.resets || !l.reads()):
		return now, false
	case !now.Before(l.limit):
		return now, false
	case !now.Before(l.until):
		receives := unacknowledged > 0 && (l.unacknowledged < 0 || unacknowledged < l.unacknowledged)
		if !receives {
			return now, false
		}
		l.until = now.Add(lingerTime)
		l.unacknowledged = unacknowledged
	case l.unacknowledged < 0:
		l.unacknowledged = unacknowledged
	}
	wake := l.until
	if poll := now.Add(lingerPollInterval); (l.resets || !l.reads()) && poll.Before(wake) {
		wake = poll
	}
	if l.limit.Before(wake) {
		wake = l.limit
	}
	return wake, true
}
