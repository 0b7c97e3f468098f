package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. Unlike Go's monotonic clock it includes the time for which the
// machine was suspended, and unlike the wall clock nobody sets it.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock, and no decision that needs it may be made without it.
		panic(err)
	}
	return time.Duration(now.Nano())
}
