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
	// tickInterval is the time after which a group in which something waits is processed again.
	tickInterval = 2 * time.Millisecond
	// idleTickInterval is the time between ticks while nothing waits in any group; it is well below pauseThreshold.
	idleTickInterval = 50 * time.Millisecond
	// processInterval is the minimum time after which a group in use in which nothing waits is processed again.
	processInterval = 90 * time.Millisecond
	// unusedParts is the number of calls of processGroups in which every unused group is processed once.
	unusedParts = 10
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
	c.activateGroup(gs)
	c.processGroupAfterPause(now, gs)
	gs.arbiter.SetControlBudgetLow(c.isControlBudgetLow(now))
	c.applyEffect(now, gs, gs.arbiter.Receive(now, from, frame))
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
	c.forEachGroup(func(g group.Group, gs *groupState) {
		if gs.arbiter.Owner() == peer {
			c.applyEffect(now, gs, gs.arbiter.ResetLink(now, c.openConnectionCheck(g)))
		}
	})
}

// PeerDown handles the loss of the link to an entry host.
//
// The credits that the peer holds of groups owned here count as in use until its requests must have ended.
// The credits that it lent as an owner are no longer used.
func (c *Coordinator) PeerDown(now time.Time, peer string) {
	until := now.Add(c.orphanTimeout)
	c.forEachGroup(func(g group.Group, gs *groupState) {
		if gs.arbiter.Owner() == peer {
			c.applyEffect(now, gs, gs.arbiter.ResetLink(now, c.openConnectionCheck(g)))
			return
		}
		c.applyEffect(now, gs, gs.arbiter.PeerDisconnected(now, peer, until))
	})
}

// EndpointClosedConnection handles an unsolicited close of a connection by an endpoint.
func (c *Coordinator) EndpointClosedConnection(now time.Time, endpoint host.Host) {
	gs := c.groupStateFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.count("endpoint_closed_connection")
	c.applyEffect(now, gs, gs.arbiter.ConnectionClosed(now, endpoint.ID))
}

// SilentEndpoints returns the endpoints of the groups that this host owns about which nothing was learned for at least
// the given time.
func (c *Coordinator) SilentEndpoints(now time.Time, since time.Duration) []host.Host {
	var hosts []host.Host
	c.forEachGroup(func(_ group.Group, gs *groupState) { hosts = append(hosts, gs.arbiter.SilentEndpoints(now, since)...) })
	return hosts
}

// RecordProbe handles the report of a health probe.
func (c *Coordinator) RecordProbe(endpoint host.Host, r report.Report) {
	now := c.clock()
	gs := c.groupStateFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.applyEffect(now, gs, gs.arbiter.RecordProbe(now, endpoint.ID, r))
}

// Run processes the groups periodically until the context ends. The returned channel then receives nil.
func (c *Coordinator) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		c.runTicks(ctx)
		done <- nil
	}()
	return done
}

func (c *Coordinator) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.setTicker(ticker)
	defer c.setTicker(nil)
	var seen uint64
	var processedAt time.Time
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.clock()
		c.processActiveGroups(now)
		c.lastTick.Store(now.UnixNano())
		c.slowTickerWhenIdle()
		if now.Sub(processedAt) < processInterval {
			continue
		}
		fingerprint := c.members.Fingerprint(now)
		c.processGroups(now, n%unusedParts, fingerprint != seen)
		seen = fingerprint
		processedAt = now
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

// processActiveGroups processes the groups in which something waits; those that stay busy remain active.
func (c *Coordinator) processActiveGroups(now time.Time) {
	c.activeMu.Lock()
	activeStates := c.active
	c.active = nil
	c.activeMu.Unlock()
	for _, gs := range activeStates {
		gs.mu.Lock()
		c.processGroup(now, gs)
		busy := gs.arbiter.IsBusy()
		gs.active.Store(false)
		if busy {
			c.activateGroup(gs)
		}
		gs.mu.Unlock()
	}
}

// processGroups processes the groups in use and one of the unusedParts parts of the unused ones, or all groups if all is
// true because owners may have changed.
func (c *Coordinator) processGroups(now time.Time, part int, all bool) {
	i := 0
	c.forEachGroup(func(_ group.Group, gs *groupState) {
		if all || !gs.unused.Load() || i%unusedParts == part {
			c.processGroup(now, gs)
		}
		i++
	})
}

// processGroup updates the owner, the control budget and the cold permission of a locked group state
// and handles what is due at this time.
func (c *Coordinator) processGroup(now time.Time, gs *groupState) {
	g := gs.group
	if owner := c.members.Owner(now, g); owner != gs.arbiter.Owner() {
		c.applyEffect(now, gs, gs.arbiter.SetOwner(now, owner, c.openConnectionCheck(g)))
	}
	gs.arbiter.SetControlBudgetLow(c.isControlBudgetLow(now))
	if gs.arbiter.IsOwner() {
		until := c.coldPermission(now, g, gs.arbiter.NeedsCold(now))
		c.applyEffect(now, gs, gs.arbiter.AllowCold(now, until))
	}
	c.refuseWaiting(now, gs, gs.admitter.Tick(now))
	c.applyEffect(now, gs, gs.arbiter.Tick(now))
	gs.unused.Store(gs.arbiter.IsUnused())
}

// refuseWaiting refuses waiting requests of a locked group state that cannot be answered in time.
func (c *Coordinator) refuseWaiting(now time.Time, gs *groupState, ids []uint64) {
	for _, id := range ids {
		c.count("bind_refused")
		gs.expireRequest(now, id)
		c.applyEffect(now, gs, gs.arbiter.Cancel(now, id))
	}
}

// States returns the state of every group for dumps, sorted by group.
func (c *Coordinator) States() []arbiter.State {
	now := c.clock()
	var states []arbiter.State
	c.forEachGroup(func(_ group.Group, gs *groupState) { states = append(states, gs.arbiter.State(now)) })
	slices.SortFunc(states, func(a, b arbiter.State) int { return strings.Compare(a.Group, b.Group) })
	return states
}
