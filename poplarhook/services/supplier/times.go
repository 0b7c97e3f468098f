package supplier

import "time"

// referenceBound is the bound on the delay of a change that the durations in newTimes are given for, the shortest bound
// of the known deployments.
const referenceBound = 2 * time.Second

// times holds the durations that determine how late a host may learn of a change.
//
// The worst case is a source that is cut off right after the store answered
// it: its next poll fails (pollInterval + pollTimeout), and its readers try the
// next host in rank (servingTimeout) or list the store themselves. The sum
// stays under the bound.
type times struct {
	// pollInterval is the pause between two polls of the store's revision, pollTimeout bounds one poll. A slow store
	// answers in about 300 ms.
	pollInterval, pollTimeout time.Duration
	// retryPause is the pause after a failed poll; it doubles up to maxRetryPause.
	retryPause, maxRetryPause time.Duration
	// maxWatchDelay is the time in which a watch must return a change that a poll has shown, batchPause included.
	maxWatchDelay time.Duration
	// batchPause is the pause after each watch of endpoints and members, so that one call returns several changes.
	batchPause time.Duration
	// silenceTimeout is the time without a line after which a stream counts as dead, heartbeatInterval the time between
	// two heartbeats on it.
	silenceTimeout, heartbeatInterval time.Duration
	// servingTimeout is how long a host that does not serve yet is tried, every servingRetryPause. When both hosts have
	// lost the same source, the host that is tried detects the loss as late as this host, and must then wait for the
	// store's answer.
	servingTimeout, servingRetryPause time.Duration
	// reviewInterval is the time between two checks whether a better source than the current one is available.
	reviewInterval time.Duration
}

// sessionStartTimeout returns how long the start of a session may take: the source may not serve yet, or the store may
// still have to answer.
func (t times) sessionStartTimeout() time.Duration {
	return t.silenceTimeout + t.servingTimeout
}

// newTimes scales the durations to a bound on the delay of changes. A bound above referenceBound has no further effect,
// since it would only delay updates.
func newTimes(bound time.Duration) times {
	scale := float64(min(max(bound, 0), referenceBound)) / float64(referenceBound)
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	return times{
		pollInterval:      scaled(time.Second),
		pollTimeout:       scaled(600 * time.Millisecond),
		retryPause:        scaled(250 * time.Millisecond),
		maxRetryPause:     scaled(time.Second),
		maxWatchDelay:     scaled(700 * time.Millisecond),
		batchPause:        scaled(300 * time.Millisecond),
		silenceTimeout:    scaled(1100 * time.Millisecond),
		heartbeatInterval: scaled(350 * time.Millisecond),
		servingTimeout:    scaled(400 * time.Millisecond),
		servingRetryPause: scaled(80 * time.Millisecond),
		reviewInterval:    scaled(time.Second),
	}
}
