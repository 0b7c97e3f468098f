package screener

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// waitOf returns for how long a closed connection waits, looking at the socket when the decision asks for it.
func waitOf(l lingering, unacknowledged func(since time.Duration) int) time.Duration {
	now := start
	for {
		wake, lingers := l.next(now, unacknowledged(now.Sub(start)))
		if !lingers {
			return now.Sub(start)
		}
		now = wake
	}
}

func constant(bytes int) func(time.Duration) int {
	return func(time.Duration) int { return bytes }
}

// A client that neither receives nor closes must not hold a connection, and one that receives slowly must get its
// responses, but not hold the connection without end either.
func TestLingeringEnds(t *testing.T) {
	c := qt.New(t)
	closed := func(resets bool) lingering { return newLingering(start, start, resets, false) }
	c.Check(waitOf(closed(false), constant(0)), qt.Equals, lingerTime)
	c.Check(waitOf(closed(false), constant(-1)), qt.Equals, lingerTime)
	c.Check(waitOf(closed(false), constant(1000)), qt.Equals, lingerTime)
	slow := func(since time.Duration) int { return max(int((10*time.Second-since)/time.Millisecond), 0) }
	c.Check(waitOf(closed(false), slow), qt.Equals, 10*time.Second)
	c.Check(waitOf(closed(false), func(since time.Duration) int { return int(time.Hour - since) }), qt.Equals, maxLingerTime)
	c.Check(waitOf(closed(true), func(since time.Duration) int { return int(time.Hour - since) }), qt.Equals, maxLingerTime)
	c.Check(waitOf(newLingering(start, start.Add(-time.Second), false, false), constant(0)), qt.Equals, lingerTime-time.Second)
	c.Check(waitOf(newLingering(start, start.Add(-time.Minute), false, false), constant(1000)), qt.Equals, lingerTime)
}

// The reset of a connection must come once its client has received what was written before, and not wait for the client
// to close the connection, which it does not do before the reset.
func TestLingeringBeforeAReset(t *testing.T) {
	c := qt.New(t)
	l := newLingering(start, start, true, false)
	c.Check(waitOf(l, constant(0)), qt.Equals, time.Duration(0))
	received := func(since time.Duration) int {
		if since < 500*time.Millisecond {
			return 1000
		}
		return 0
	}
	c.Check(waitOf(l, received), qt.Equals, 500*time.Millisecond)
	c.Check(waitOf(newLingering(start, start, true, true), received), qt.Equals, 500*time.Millisecond)
	c.Check(waitOf(newLingering(start, start, false, true), received), qt.Equals, time.Duration(0))
}

// A client that sends without end must not be read without end; its connection still waits for what it has not received.
func TestLingeringReadsALimitedNumberOfBytes(t *testing.T) {
	c := qt.New(t)
	l := newLingering(start, start, false, false)
	l.discarded = maxLingerBytes - 1
	c.Check(l.reads(), qt.IsTrue)
	l.discarded = maxLingerBytes
	c.Check(l.reads(), qt.IsFalse)
	c.Check(waitOf(l, constant(0)), qt.Equals, time.Duration(0))
	c.Check(waitOf(l, constant(1000)), qt.Equals, lingerTime)
}
