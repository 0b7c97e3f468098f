package borrower

import (
	"time"

	"poplarhook.example/lib/release"
)

// account is what the borrower has of one endpoint.
type account struct {
	id string
	// warm holds when the warm credits in flight were granted, in the order of use.
	warm []time.Time
	// idle holds the warm credits that no request uses, the latest last.
	idle []idleCredit
	cold int
	// carried is how many warm credits in flight come from an earlier owner.
	carried   int
	completed int
}

type idleCredit struct {
	grantedAt time.Time
	since     time.Time
}

func (a *account) inFlight() int {
	return len(a.warm) + a.cold
}

// isBetter prefers fewer requests in flight, then what was in use last.
func (a *account) isBetter(other *account) bool {
	if a.inFlight() != other.inFlight() {
		return a.inFlight() < other.inFlight()
	}
	since, otherSince := a.idle[len(a.idle)-1].since, other.idle[len(other.idle)-1].since
	if !since.Equal(otherSince) {
		return since.After(otherSince)
	}
	return a.id < other.id
}

func (a *account) isUseless() bool {
	return a.inFlight() == 0 && len(a.idle) == 0
}

// start puts the latest idle credit in flight.
func (a *account) start() {
	last := len(a.idle) - 1
	a.warm = append(a.warm, a.idle[last].grantedAt)
	a.idle = a.idle[:last]
}

// finishWarm ends a request on the oldest warm credit and reports whether that came from an earlier owner.
func (a *account) finishWarm() (grantedAt time.Time, carried bool) {
	grantedAt = a.warm[0]
	a.warm = a.warm[1:]
	carried = a.carried > 0
	if carried {
		a.carried--
	}
	a.completed++
	return grantedAt, carried
}

func (a *account) finishCold() {
	a.cold--
	a.completed++
}

// dropIdle removes the idle credits kept since the given time or longer and returns how many.
func (a *account) dropIdle(since time.Time) int {
	n := 0
	for n < len(a.idle) && !a.idle[n].since.After(since) {
		n++
	}
	a.idle = a.idle[n:]
	return n
}

func (a *account) release(count int) release.Release {
	r := release.Release{Endpoint: a.id, Count: count, Completed: a.completed}
	a.completed = 0
	return r
}

func (a *account) carry() {
	a.idle = nil
	a.carried = len(a.warm)
}
