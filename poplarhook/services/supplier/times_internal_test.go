package supplier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The worst case is a source that is cut off silently right after an answer of the store, so that its readers have to
// find the next host in rank.
func TestWorstCaseDelayStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(100, 20000).Draw(t, "bound_ms")) * time.Millisecond
		durations := newTimes(bound)
		if cut := durations.pollInterval + durations.pollTimeout; cut > bound*9/10 {
			t.Fatalf("the loss of a source that is cut off is detected after %s, too late for a bound of %s", cut, bound)
		}
		if dead := durations.silenceTimeout + durations.servingTimeout; dead > bound*9/10 {
			t.Fatalf("a source that stopped is replaced after %s, too late for a bound of %s", dead, bound)
		}
		if durations.silenceTimeout < 3*durations.heartbeatInterval || durations.pollInterval <= 0 || durations.pollTimeout <= 0 {
			t.Fatalf("invalid durations: %+v", durations)
		}
	})
}
