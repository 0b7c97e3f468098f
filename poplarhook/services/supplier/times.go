package supplier

import "time"

// reference is the bound for which the figures below are chosen: the shortest one of the known deployments.
const reference = 2 * time.Second

// times is what decides how late a host may learn of a change.
//
// The worst case is a source that is cut off right after it was heard: its next
// question fails (interval + timeout), the others ask the next in rank (serving)
// or list the store themselves. That stays under the bound.
type times struct {
	// interval is how often the source asks the store for its revision, timeout bounds one such question; a slow store
	// takes some 300 ms.
	interval, timeout time.Duration
	// retry is the pause after a question that was not answered; it doubles up to retryMax.
	retry, retryMax time.Duration
	// settle is how long a watch may take to bring a change that a question has shown, the gathering included.
	settle time.Duration
	// gather lets changes of endpoints come together.
	gather time.Duration
	// silence is after what time without a line a stream counts as dead, pulse the time between signs of life on it.
	silence, pulse time.Duration
	// serving is how long a host that does not serve yet is asked again, each servingStep: when the source before it
	// dies, it notices that as late as the asking one and then needs an answer of the store.
	serving, servingStep time.Duration
	// review is how often a host looks whether a better source than its own serves.
	review time.Duration
}

// beginning returns how long a new source may take to begin: one that does not serve yet, or an answer of the store.
func (t times) beginning() time.Duration {
	return t.silence + t.serving
}

// timesFor returns the times for a bound on the delay of changes; a bound above the reference changes nothing, since
// nobody is served better by later news.
func timesFor(bound time.Duration) times {
	scale := float64(min(max(bound, 0), reference)) / float64(reference)
	of := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	return times{
		interval:    of(time.Second),
		timeout:     of(600 * time.Millisecond),
		retry:       of(250 * time.Millisecond),
		retryMax:    of(time.Second),
		settle:      of(700 * time.Millisecond),
		gather:      of(300 * time.Millisecond),
		silence:     of(1100 * time.Millisecond),
		pulse:       of(350 * time.Millisecond),
		serving:     of(400 * time.Millisecond),
		servingStep: of(80 * time.Millisecond),
		review:      of(time.Second),
	}
}
