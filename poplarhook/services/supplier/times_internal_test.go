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
		of := timesFor(bound)
		if cut := of.pollInterval + of.pollTimeout; cut > bound*9/10 {
			t.Fatalf("a source that is cut off is noticed after %s of %s", cut, bound)
		}
		if dead := of.silenceTimeout + of.servingTimeout; dead > bound*9/10 {
			t.Fatalf("a source that died is replaced after %s of %s", dead, bound)
		}
		if of.silenceTimeout < 3*of.heartbeatInterval || of.pollInterval <= 0 || of.pollTimeout <= 0 {
			t.Fatalf("%+v", of)
		}
	})
}
