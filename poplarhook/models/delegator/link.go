package delegator

import (
	"time"

	"poplarhook.example/poplarhook/models/token"
)

const (
	// silenceTimeout is how long a pool host may leave an Ask unanswered; then its stream is closed.
	silenceTimeout = 500 * time.Millisecond
	// dialTimeout is how long a pool host may take to send the first line of a stream.
	dialTimeout = 400 * time.Millisecond
	// keepAlive is the interval of Asks that only renew the delegation. It is well below granter.Delegation, so that the
	// delegation outlasts a lost packet.
	keepAlive = 300 * time.Millisecond
	// echoInterval is the least time between two Asks that renew the delegation, for the size of the others.
	echoInterval = keepAlive / 2
	// coalesceTime is the least time between two Asks, for the cost of a message; requests that arrive in between share
	// the next one.
	coalesceTime = 5 * time.Millisecond
	// overloadCoalesceTime applies instead to workspaces of which more than overloadShare of the Asks are refused. With
	// the round trip between regions it stays below the time for which a request waits.
	overloadCoalesceTime = 25 * time.Millisecond
	overloadShare        = 0.5
	// refusalWeight is the weight of one Ask in the average fraction of refused ones.
	refusalWeight = 0.1
	// returnTime is the longest time for which tokens to be returned wait for other messages.
	returnTime = 50 * time.Millisecond
	// firstPenalty is for how long a pool host is not tried again after it failed for the first time; the time doubles
	// with each further failure, up to maxPenalty.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 4 * time.Second
	maxDoublings = 3
	// startPenalty applies instead while this host starts, as the better pool hosts may be starting too: the sooner all
	// hosts use the same one, the more of the start allowance is in one place.
	startPenalty = 150 * time.Millisecond
	// stableTime is how long a stream must last for earlier failures of its host to be forgotten. A pool host that fails
	// again and again is so used less and less often.
	stableTime = 10 * time.Second
	// hintInterval is the least time between two tries that other hosts caused.
	hintInterval = 2 * time.Second
	// maxDials is the number of pool hosts tried at the same time, and regionDials how many of them are only in the own
	// region, since a partition often separates regions.
	maxDials    = 4
	regionDials = 1
)

// link is the stream to one pool host.
type link struct {
	peer     Peer
	openedAt time.Duration
	answered bool
	// clock is the newest clock value of the pool host, received at clockAt.
	clock     int64
	clockAt   time.Duration
	lastAskAt time.Duration
	// echoedAt is the time of the last Ask that returned a clock value.
	echoedAt time.Duration
	sent     []sentAsk
	leaving  bool
}

// sentAsk is an Ask that has not been answered yet.
type sentAsk struct {
	at          time.Duration
	want, spare map[string]int
}

// isSilent reports whether the pool host has not answered in time.
func (l *link) isSilent(now time.Duration) bool {
	if !l.answered {
		return now-l.openedAt > dialTimeout
	}
	return len(l.sent) > 0 && now-l.sent[0].at > silenceTimeout
}

// received records a reply and returns the Ask that it answers, which is empty for the first reply of the stream.
func (l *link) received(now time.Duration, r token.Reply) sentAsk {
	if r.Clock > 0 {
		l.clock, l.clockAt = r.Clock, now
	}
	if !l.answered {
		l.answered = true
		return sentAsk{at: now}
	}
	if len(l.sent) == 0 {
		return sentAsk{at: now}
	}
	answered := l.sent[0]
	l.sent = l.sent[1:]
	return answered
}

// penalty is the time until which a pool host is not tried.
type penalty struct {
	failures int
	until    time.Duration
	hintedAt time.Duration
}
