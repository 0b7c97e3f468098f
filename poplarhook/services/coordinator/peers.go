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
	// tickEvery passes between visits to groups in which something waits.
	tickEvery = 2 * time.Millisecond
	// restEvery passes between ticks while nothing waits in any group; it is well under pausedAfter.
	restEvery = 50 * time.Millisecond
	// sweepEvery is the least time between visits to groups in use where nothing waits.
	sweepEvery = 90 * time.Millisecond
	// sweepParts is how many such visits it takes to visit every group in no use.
	sweepParts = 10
	// pausedAfter is the time without a tick that tells of a pause of the process.
	pausedAfter = 100 * time.Millisecond
)

// Receive takes in a frame about a group from another entry host; frames about unknown groups are counted.
func (c *Coordinator) Receive(now time.Time, from string, frame *wire.Frame) {
	g, known := c.groupOf(frame)
	if !known {
		c.count("frame_for_unknown_group")
		return
	}
	in := c.cellFor(g)
	in.mu.Lock()
	defer in.mu.Unlock()
	c.activate(in)
	c.notice(now, in)
	in.arbiter.SetShort(c.isShort(now))
	c.perform(now, in, in.arbiter.Receive(now, from, frame))
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
	g, known := c.byNumber[n]
	return g, known
}

// PeerUp notes a new link to an entry host: groups that it owns start anew with it.
func (c *Coordinator) PeerUp(now time.Time, peer string) {
	c.each(func(g group.Group, in *cell) {
		if in.arbiter.Owner() == peer {
			c.perform(now, in, in.arbiter.Relink(now, c.provedIn(g)))
		}
	})
}

// PeerDown notes a broken link to an entry host.
//
// What it holds of groups owned here stays out until its requests must be over;
// credits that it lent as an owner are used no more.
func (c *Coordinator) PeerDown(now time.Time, peer string) {
	until := now.Add(c.orphanFor)
	c.each(func(g group.Group, in *cell) {
		if in.arbiter.Owner() == peer {
			c.perform(now, in, in.arbiter.Relink(now, c.provedIn(g)))
			return
		}
		c.perform(now, in, in.arbiter.PeerGone(now, peer, until))
	})
}

// Lost notes that an endpoint closed a connection unasked.
func (c *Coordinator) Lost(now time.Time, endpoint host.Host) {
	in := c.cellFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	in.mu.Lock()
	defer in.mu.Unlock()
	c.count("endpoint_closed_connection")
	c.perform(now, in, in.arbiter.Lost(now, endpoint.ID))
}

// Unheard returns the endpoints of owned groups that have given no sign for the given time.
func (c *Coordinator) Unheard(now time.Time, since time.Duration) []host.Host {
	var hosts []host.Host
	c.each(func(_ group.Group, in *cell) { hosts = append(hosts, in.arbiter.Unheard(now, since)...) })
	return hosts
}

// Probed takes in what an endpoint's health says.
func (c *Coordinator) Probed(endpoint host.Host, r report.Report) {
	now := c.clock()
	in := c.cellFor(group.Group{Service: endpoint.Service, Region: endpoint.Region})
	in.mu.Lock()
	defer in.mu.Unlock()
	c.perform(now, in, in.arbiter.Probed(now, endpoint.ID, r))
}

// Run does what the passing of time calls for until the context ends; the channel gives the end.
func (c *Coordinator) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		c.tick(ctx)
		done <- nil
	}()
	return done
}

func (c *Coordinator) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	c.start(ticker)
	defer c.start(nil)
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
		c.rest()
		if now.Sub(sweptAt) < sweepEvery {
			continue
		}
		fingerprint := c.members.Fingerprint(now)
		c.sweep(now, n%sweepParts, fingerprint != seen)
		seen = fingerprint
		sweptAt = now
		n++
	}
}

// start has the ticker slowed down while nothing waits, or nothing more done with it if it is nil.
func (c *Coordinator) start(ticker *time.Ticker) {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	c.ticker, c.resting = ticker, false
}

// rest slows the ticker down if nothing waits in any group.
func (c *Coordinator) rest() {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	if len(c.active) == 0 && !c.resting {
		c.resting = true
		c.ticker.Reset(restEvery)
	}
}

// visitActive visits the cells in which something waits.
func (c *Coordinator) visitActive(now time.Time) {
	c.activeMu.Lock()
	cells := c.active
	c.active = nil
	c.activeMu.Unlock()
	for _, in := range cells {
		in.mu.Lock()
		c.visit(now, in)
		busy := in.arbiter.IsBusy()
		in.active.Store(false)
		if busy {
			c.activate(in)
		}
		in.mu.Unlock()
	}
}

// sweep visits the cells in use and one part of the others, or all when owners may have changed.
func (c *Coordinator) sweep(now time.Time, part int, all bool) {
	i := 0
	c.each(func(_ group.Group, in *cell) {
		if all || !in.parked.Load() || i%sweepParts == part {
			c.visit(now, in)
		}
		i++
	})
}

// visit does what the passing of time calls for in a locked cell.
func (c *Coordinator) visit(now time.Time, in *cell) {
	g := in.group
	if owner := c.members.Owner(now, g); owner != in.arbiter.Owner() {
		c.perform(now, in, in.arbiter.SetOwner(now, owner, c.provedIn(g)))
	}
	in.arbiter.SetShort(c.isShort(now))
	if in.arbiter.IsOwner() {
		until := c.coldRight(now, g, in.arbiter.NeedsCold(now))
		c.perform(now, in, in.arbiter.AllowCold(now, until))
	}
	c.refuse(now, in, in.admitter.Tick(now))
	c.perform(now, in, in.arbiter.Tick(now))
	in.parked.Store(in.arbiter.IsUnused())
}

// refuse gives up waiting requests of a locked cell that cannot be answered in time.
func (c *Coordinator) refuse(now time.Time, in *cell, ids []uint64) {
	for _, id := range ids {
		c.count("bind_refused")
		in.expire(now, id)
		c.perform(now, in, in.arbiter.Cancel(now, id))
	}
}

// States returns the state of every group, for dumps.
func (c *Coordinator) States() []arbiter.State {
	now := c.clock()
	var states []arbiter.State
	c.each(func(_ group.Group, in *cell) { states = append(states, in.arbiter.State(now)) })
	slices.SortFunc(states, func(a, b arbiter.State) int { return strings.Compare(a.Group, b.Group) })
	return states
}
