package gateway

import (
	"net"
	"syscall"
	"time"

	"poplarhook.example/poplarhook/modules/screener"
)

const (
	// maxHeadBytes and maxHeadTime bound the heads of requests where the configuration gives no limit, or a larger one.
	maxHeadBytes = 1 << 20
	maxHeadTime  = time.Minute
	// earlyHeadBytes and earlyHeadTime bound the heads of requests until there is a configuration. They are above the
	// limits of the known deployments.
	earlyHeadBytes = 64 << 10
	earlyHeadTime  = 10 * time.Second
)

// newScreener returns the listener for callers, which bounds their connections and the heads of their requests.
func (g *Gateway) newScreener(listener net.Listener) *screener.Screener {
	return screener.New(listener,
		screener.WithClock(g.clock),
		screener.WithLimits(g.headLimits),
		screener.WithEarlyStart(g.callers.StartEarly),
		screener.WithMemory(g.memory),
		screener.WithMaxConnections(g.deployment.Load().CallerConnections(openFileLimit())),
		screener.WithCounter(g.meter.Count),
		screener.WithLogger(g.logger))
}

// headLimits returns the limits on the heads of requests.
func (g *Gateway) headLimits() screener.Limits {
	s, configured := g.locator.Snapshot()
	if !configured {
		return screener.Limits{HeadBytes: earlyHeadBytes, HeadTime: earlyHeadTime}
	}
	limits := screener.Limits{HeadBytes: maxHeadBytes, HeadTime: maxHeadTime}
	if s.Limit.HeadBytes > 0 {
		limits.HeadBytes = int(min(s.Limit.HeadBytes, maxHeadBytes))
	}
	if s.Limit.HeadTimeoutMS > 0 {
		limits.HeadTime = time.Duration(min(s.Limit.HeadTimeoutMS, maxHeadTime.Milliseconds())) * time.Millisecond
	}
	return limits
}

// openFileLimit returns how many descriptors the system lets the process open, zero if that is not known.
func openFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30)) //nolint:gosec // the value is bounded
}
