package pauser_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/pauser"
)

func TestPause(t *testing.T) {
	const pause = 5 * time.Millisecond
	from := time.Now()
	qt.Assert(t, pauser.Pause(t.Context(), pause), qt.IsNil)
	qt.Assert(t, time.Since(from) >= pause, qt.IsTrue)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, pauser.Pause(ended, time.Hour), qt.ErrorIs, context.Canceled)
}
