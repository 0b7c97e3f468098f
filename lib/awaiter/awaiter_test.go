package awaiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

// ended records how a test was ended.
type ended struct {
	testing.TB
	reason string
}

func (*ended) Helper() {}

func (e *ended) Fatalf(format string, arguments ...any) {
	e.reason = fmt.Sprintf(format, arguments...)
	runtime.Goexit()
}

func wait(limit time.Duration, condition func() bool) string {
	var e ended
	done := make(chan struct{})
	go func() {
		defer close(done)
		awaiter.New(time.Millisecond).Await(&e, limit, "rain", condition)
	}()
	<-done
	return e.reason
}

func TestAwait(t *testing.T) {
	polls := 0
	qt.Check(t, wait(time.Minute, func() bool { polls++; return polls == 3 }), qt.Equals, "")
	qt.Check(t, polls, qt.Equals, 3)
	qt.Check(t, wait(5*time.Millisecond, func() bool { return false }), qt.Equals, "waited 5ms in vain for: rain")
}
