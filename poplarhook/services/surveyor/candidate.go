package surveyor

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
)

// candidate is an endpoint that may get the request.
type candidate struct {
	group    group.Group
	host     host.Host
	cold     bool
	estimate time.Duration
	report   report.Report
	lookedAt time.Time
	// sentBefore is how many requests of this host were in flight there when the look was sent.
	sentBefore int
}

// hasFreeSlot reports whether the request should be worked on at once, as far as is known.
func (c candidate) hasFreeSlot() bool {
	if !c.report.Loaded {
		return c.sentBefore == 0
	}
	return c.report.InFlight < max(c.report.Slots, 1) && c.report.Waiting == 0
}

// slowness returns how long work takes, 1 as usual where the endpoint does not tell.
func (c candidate) slowness() float64 {
	if !c.report.Loaded || c.report.Slowness <= 0 {
		return 1
	}
	return c.report.Slowness
}

// isFull reports whether the endpoint would have to queue the request behind as many others as it has slots.
func (c candidate) isFull() bool {
	return c.report.Loaded && c.report.Waiting >= max(c.report.Slots, 1)
}
