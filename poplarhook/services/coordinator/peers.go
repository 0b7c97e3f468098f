package coordinator

import (
	"context"
	"slices"
	"strings"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/services/arbiter"
)

const (
	// tickInterval is the time between visits to groups in which something waits.
	tickInterval = 2 * time.Millisecond
	// idleTickInterval is the time between ticks while nothing waits in any group; it is well below pauseThreshold.
	idleTickInterval = 50 * time.Millisecond
	// sweepInterval is the minimum time between visits to groups in use in which nothing waits.
	sweepInterval = 90 * time.Millisecond
	// sweepParts is the number of sweeps in which every unused group is visited once.
	sweepParts = 10
	// pauseThreshold is the time without a tick after which the process counts as having been paused.
	pauseThreshold = 100 * time.Millisecond
)

// Receive handles a frame about a group from another entry host. Frames about unknown groups are only counted.
func (c *Coordinator) Receive(now time.Time, from string, frame *wire.Frame) {
	g, known := c.groupOf(frame)
	if !known {
		c.count("frame_for_unknown_group")
		return
	}
	gs := c.groupStateFor(g)
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.activate(gs)
	c.visitAfterPause(now, gs)
	gs.arbiter.SetControlBudgetLow(c.isControlBudgetLow(now))
	c.apply(now, gs, gs.arbiter.Receive(now, from, frame))
}

func (c *Coordinator) groupOf(frame *wire.Frame) (group.Group, bool) {
	var n uint32
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Demand:
		n = body.Demand.GetGroup()
	case *wire.Frame_Credit:
		n = body.Credit.GetGroup()
	case *wire.Frame_Release:
		n = body.Release.GetGroup()
	case *wire.Frame_Recall:
		n = body.Recall.GetGroup()
	case *wire.Frame_Holding:
		n = body.Holding.GetGroup()
	case *wire.Frame_Sighting:
		n = body.Sighting.GetGroup()
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	g, known := c.groupsByNumber[n]
	return g, known
}

// PeerUp handles a new link to an entry host: it resets the exchange with that host for the groups that the host owns.
func (c *Coordinator) PeerUp(now time.Time, peer string) {
	c.each(func(g group.Group, gs *groupState) {
		if gs.arbiter.Owner() == peer {
			c.apply(now, gs, gs.arbiter.ResetLink(now, c.openConnectionCheck(g)))
		}
	})
}

// PeerDown handles the loss of the link to an entry host.
//
// The credits that the peer holds of groups owned here count as in use until its requests must have ended.
// The credits that it lent as an owner are no longer used.
func (c *Coordinator) PeerDown(now time.Time, peer string) {
	until := now.Add(c.orphanTimeout)
	c.each(func(g group.Group, gs *groupState) {
		if gs.arbiter.Owner() == peer {
			c.apply(now, gs, gs.arbiter.ResetLink(now, c.openConnectionCheck(g)))
			return
		}
		c.apply(now, gs, gs.arbiter.PeerDisconnected(now, peer, until))
	})
}

// EndpointClosedConnection handles an unsolicited close of a connection by an endpoint.
func (c *Coordinator) EndpointClosedConnection(now time.Time, endpoint host.Host) {
	gs := c.groupStateFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.count("endpoint_closed_connection")
	c.apply(now, gs, gs.arbiter.ConnectionClosed(now, endpoint.ID))
}

// SilentEndpoints returns the endpoints of owned groups from which nothing was received for the given time.
func (c *Coordinator) SilentEndpoints(now time.Time, since time.Duration) []host.Host {
	var hosts []host.Host
	c.each(func(_ group.Group, gs *groupState) { hosts = append(hosts, gs.arbiter.SilentEndpoints(now, since)...) })
	return hosts
}

// RecordProbe handles the report of a health probe.
func (c *Coordinator) RecordProbe(endpoint host.Host, r report.Report) {
	now := c.clock()
	gs := c.groupStateFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.apply(now, gs, gs.arbiter.RecordProbe(now, endpoint.ID, r))
}

// Run visits the groups periodically until the context ends. The channel then receives nil.
func (c *Coordinator) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		c.tick(ctx)
		done <- nil
	}()
	return done
}

func (c *Coordinator) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.setTicker(ticker)
	defer c.setTicker(nil)
	var seen uint64
	var sweptAt time.Time
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.clock()
		c.visitActive(now)
		c.lastTick.Store(now.UnixNano())
		c.slowTickerWhenIdle()
		if now.Sub(sweptAt) < sweepInterval {
			continue
		}
		fingerprint := c.members.Fingerprint(now)
		c.sweep(now, n%sweepParts, fingerprint != seen)
		seen = fingerprint
		sweptAt = now
		n++
	}
}

// setTicker sets the ticker that activate and slowTickerWhenIdle adjust; nil means that there is none to adjust.
func (c *Coordinator) setTicker(ticker *time.Ticker) {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	c.ticker, c.tickerSlowed = ticker, false
}

// slowTickerWhenIdle slows the ticker down if nothing waits in any group.
func (c *Coordinator) slowTickerWhenIdle() {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	if len(c.active) == 0 && !c.tickerSlowed {
		c.tickerSlowed = true
		c.ticker.Reset(idleTickInterval)
	}
}

// visitActive visits the groups in which something waits.
func (c *Coordinator) visitActive(now time.Time) {
	c.activeMu.Lock()
	cells := c.active
	c.active = nil
	c.activeMu.Unlock()
	for _, gs := range cells {
		gs.mu.Lock()
		c.visit(now, gs)
		busy := gs.arbiter.IsBusy()
		gs.active.Store(false)
		if busy {
			c.activate(gs)
		}
		gs.mu.Unlock()
	}
}

// sweep visits the groups in use and one part of the unused ones, or all groups when owners may have changed.
func (c *Coordinator) sweep(now time.Time, part int, all bool) {
	i := 0
	c.each(func(_ group.Group, gs *groupState) {
		if all || !gs.unused.Load() || i%sweepParts == part {
			c.visit(now, gs)
		}
		i++
	})
}

// visit updates the owner, the control budget and the cold permission of a locked group state
// and handles what is due at this time.
func (c *Coordinator) visit(now time.Time, gs *groupState) {
	g := gs.group
	if owner := c.members.Owner(now, g); owner != gs.arbiter.Owner() {
		c.apply(now, gs, gs.arbiter.SetOwner(now, owner, c.openConnectionCheck(g)))
	}
	gs.arbiter.SetControlBudgetLow(c.isControlBudgetLow(now))
	if gs.arbiter.IsOwner() {
		until := c.coldPermission(now, g, gs.arbiter.NeedsCold(now))
		c.apply(now, gs, gs.arbiter.AllowCold(now, until))
	}
	c.refuseWaiting(now, gs, gs.admitter.Tick(now))
	c.apply(now, gs, gs.arbiter.Tick(now))
	gs.unused.Store(gs.arbiter.IsUnused())
}

// refuseWaiting refuses waiting requests of a locked group state that cannot be answered in time.
func (c *Coordinator) refuseWaiting(now time.Time, gs *groupState, ids []uint64) {
	for _, id := range ids {
		c.count("bind_refused")
		gs.expire(now, id)
		c.apply(now, gs, gs.arbiter.Cancel(now, id))
	}
}

// States returns the state of every group for dumps, sorted by group.
func (c *Coordinator) States() []arbiter.State {
	now := c.clock()
	var states []arbiter.State
	c.each(func(_ group.Group, gs *groupState) { states = append(states, gs.arbiter.State(now)) })
	slices.SortFunc(states, func(a, b arbiter.State) int { return strings.Compare(a.Group, b.Group) })
	return states
}
