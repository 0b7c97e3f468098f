package borrower

import (
	"time"

	"poplarhook.example/lib/release"
)

// account is the state that the borrower keeps for one endpoint.
type account struct {
	id string
	// warmGrantTimes holds when the warm credits in flight were granted, in the order in which requests took them.
	warmGrantTimes []time.Time
	// idle holds the warm credits that no request uses, in the order in which they became idle.
	idle []idleCredit
	// coldInFlight counts the cold credits that requests use.
	coldInFlight int
	// carriedOver counts the warm credits in flight that were in use before the last reset, under an earlier owner or
	// connection.
	carriedOver int
	// completed counts the requests that ended since the last release.
	completed int
}

type idleCredit struct {
	grantedAt time.Time
	idleSince time.Time
}

func (a *account) countInFlight() int {
	return len(a.warmGrantTimes) + a.coldInFlight
}

// isPreferred reports whether a request is bound to an idle credit of a rather than of other: the endpoint with fewer
// requests in flight is preferred, then the one with the credit that became idle most recently, then the lower id.
func (a *account) isPreferred(other *account) bool {
	if a.countInFlight() != other.countInFlight() {
		return a.countInFlight() < other.countInFlight()
	}
	since, otherSince := a.idle[len(a.idle)-1].idleSince, other.idle[len(other.idle)-1].idleSince
	if !since.Equal(otherSince) {
		return since.After(otherSince)
	}
	return a.id < other.id
}

func (a *account) isUnused() bool {
	return a.countInFlight() == 0 && len(a.idle) == 0
}

// startLatestIdle takes the idle credit of the endpoint that became idle most recently into use for a request.
func (a *account) startLatestIdle() {
	last := len(a.idle) - 1
	a.warmGrantTimes = append(a.warmGrantTimes, a.idle[last].grantedAt)
	a.idle = a.idle[:last]
}

// finishWarm ends a request on the warm credit that was first taken into use and reports whether that credit was
// carried over from before the last reset.
func (a *account) finishWarm() (grantedAt time.Time, carried bool) {
	grantedAt = a.warmGrantTimes[0]
	a.warmGrantTimes = a.warmGrantTimes[1:]
	carried = a.carriedOver > 0
	if carried {
		a.carriedOver--
	}
	a.completed++
	return grantedAt, carried
}

func (a *account) finishCold() {
	a.coldInFlight--
	a.completed++
}

// dropIdle removes the credits that have been idle since the given time or longer and returns how many there were.
func (a *account) dropIdle(since time.Time) int {
	n := 0
	for n < len(a.idle) && !a.idle[n].idleSince.After(since) {
		n++
	}
	a.idle = a.idle[n:]
	return n
}

func (a *account) newRelease(count int) release.Release {
	r := release.Release{Endpoint: a.id, Count: count, Completed: a.completed}
	a.completed = 0
	return r
}

func (a *account) carryOver() {
	a.idle = nil
	a.carriedOver = len(a.warmGrantTimes)
}
