package collector

import (
	"time"

	"poplarhook.example/poplarhook/models/trial"
)

// Collector holds the latest report of each host about one service, for one order. It is not safe for concurrent use.
type Collector struct {
	orderRevision int64
	target        string
	hosts         map[string]entry
	// sum is the sum of the counters of all processes, also of those that have ended. Its maps are never changed.
	sum trial.Counts
}

// entry is the latest report of one host.
type entry struct {
	boot     int64
	step     int64
	moved    bool
	counts   trial.Counts
	heardAt  time.Time
	isActive bool
}

// New returns a Collector for the order with the revision and the target version.
func New(orderRevision int64, target string) *Collector {
	return &Collector{orderRevision: orderRevision, target: target, hosts: make(map[string]entry)}
}

// IsFor reports whether the Collector belongs to the order with the revision and the target version.
func (c *Collector) IsFor(orderRevision int64, target string) bool {
	return c.orderRevision == orderRevision && c.target == target
}

// Record replaces the report of a host. Reports about another order are ignored.
func (c *Collector) Record(now time.Time, host string, boot int64, r trial.ServiceReport) {
	if !c.IsFor(r.OrderRevision, r.Target) {
		return
	}
	before, known := c.hosts[host]
	if known && before.boot > boot || known && before.boot == boot && before.counts.Requests > r.Requests {
		// An earlier process of the host, or a report that was overtaken by a later one.
		return
	}
	if known && before.boot == boot {
		c.sum = c.sum.Minus(before.counts)
	}
	c.sum = c.sum.Plus(r.Counts)
	c.hosts[host] = entry{boot: boot, step: r.Step, moved: r.Moved, counts: r.Counts, heardAt: now, isActive: true}
}

// Counts returns the sum of the counters of all hosts.
func (c *Collector) Counts() trial.Counts {
	return c.sum
}

// Heard returns how many of the hosts have reported since the given time.
func (c *Collector) Heard(hosts []string, since time.Time) int {
	heard := 0
	for _, h := range hosts {
		if e := c.hosts[h]; e.isActive && !e.heardAt.Before(since) {
			heard++
		}
	}
	return heard
}

// Unmoved returns the hosts that have reported since the given time, but not that they have moved at the step, and the
// hosts that have not reported since then and had not moved either.
func (c *Collector) Unmoved(hosts []string, step int64, since time.Time) (reporting, silent []string) {
	for _, h := range hosts {
		e := c.hosts[h]
		switch {
		case e.moved && e.step >= step:
		case e.isActive && !e.heardAt.Before(since):
			reporting = append(reporting, h)
		default:
			silent = append(silent, h)
		}
	}
	return reporting, silent
}
