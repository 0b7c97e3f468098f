package awaiter

import (
	"testing"
	"time"
)

// Awaiter polls conditions at a fixed interval.
type Awaiter struct {
	interval time.Duration
}

// New returns an awaiter that polls at the interval.
func New(interval time.Duration) Awaiter {
	return Awaiter{interval: interval}
}

// Await returns once the condition is true, and fails the test if that takes longer than the limit.
func (a Awaiter) Await(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("timed out after %v waiting for: %s", limit, what)
		}
	}
}
