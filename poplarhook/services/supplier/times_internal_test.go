package supplier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAChangeIsKnownWithinTheBound adds up the worst case: the source is cut off silently right after an answer, and the
// host that reads from it finds the next in rank.
func TestAChangeIsKnownWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(100, 20000).Draw(t, "bound_ms")) * time.Millisecond
		of := timesFor(bound)
		if cut := of.interval + of.timeout; cut > bound*9/10 {
			t.Fatalf("a source that is cut off is noticed after %s of %s", cut, bound)
		}
		if dead := of.silence + of.serving; dead > bound*9/10 {
			t.Fatalf("a source that died is replaced after %s of %s", dead, bound)
		}
		if of.silence < 3*of.pulse || of.interval <= 0 || of.timeout <= 0 {
			t.Fatalf("%+v", of)
		}
	})
}
