package awaiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

// failureRecorder records the message of Fatalf in place of failing the test.
type failureRecorder struct {
	testing.TB
	message string
}

func (*failureRecorder) Helper() {}

func (r *failureRecorder) Fatalf(format string, arguments ...any) {
	r.message = fmt.Sprintf(format, arguments...)
	runtime.Goexit()
}

func failureOfAwait(limit time.Duration, condition func() bool) string {
	var recorder failureRecorder
	done := make(chan struct{})
	go func() {
		defer close(done)
		awaiter.New(time.Millisecond).Await(&recorder, limit, "readiness", condition)
	}()
	<-done
	return recorder.message
}

func TestAwait(t *testing.T) {
	polls := 0
	qt.Check(t, failureOfAwait(time.Minute, func() bool { polls++; return polls == 3 }), qt.Equals, "")
	qt.Check(t, polls, qt.Equals, 3)
	qt.Check(t, failureOfAwait(5*time.Millisecond, func() bool { return false }), qt.Equals,
		"timed out after 5ms waiting for: readiness")
}
