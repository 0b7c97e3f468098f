package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/modules/linker"
	"poplarhook.example/poplarhook/services/arbiter"
)

// link sends frames to other entry hosts; Send does not block.
type link interface {
	Send(hostID string, frame *wire.Frame) error
}

// locator lists the endpoints of each group and the availability zones that operators have taken out of service.
type locator interface {
	Endpoints(g group.Group) []host.Host
	IsZoneOut(zone string) bool
	Groups() []group.Group
}

// members names the owner of each group and counts the entry hosts that share its endpoints.
type members interface {
	Owner(now time.Time, g group.Group) string
	Sharers(now time.Time) int
	// Fingerprint changes whenever owners may have changed.
	Fingerprint(now time.Time) uint64
}

// connections reports whether a connection to the endpoint is open on which no close has been seen.
type connections interface {
	HasOpenConnection(endpoint host.Host) bool
}

// Coordinator binds requests to endpoints together with the other entry hosts. It is safe for concurrent use.
type Coordinator struct {
	self               string
	region             string
	clock              func() time.Time
	link               link
	locator            locator
	members            members
	connections        connections
	ownerTimeout       time.Duration
	orphanTimeout      time.Duration
	count              func(event string)
	coldPermission     func(now time.Time, g group.Group, wanted bool) (until time.Time)
	isControlBudgetLow func(now time.Time) bool
	lastID             atomic.Uint64

	mu          sync.RWMutex
	groupStates map[group.Group]*groupState
	// inCreationOrder holds the group states in the order of their creation; none is ever removed.
	inCreationOrder []*groupState
	groupsByNumber  map[uint32]group.Group
	holdTime        time.Duration

	// lastTick is the time of the last tick, in Unix nanoseconds.
	lastTick atomic.Int64

	activeMu sync.Mutex
	active   []*groupState
	// ticker is nil while the Coordinator does not run; tickerSlowed is true while it ticks at
	// idleTickInterval.
	ticker       *time.Ticker
	tickerSlowed bool
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(c *Coordinator) { c.clock = clock }
}

// WithOwnerTimeout sets how long a request waits for an owner that does not answer before it is bound locally.
func WithOwnerTimeout(timeout time.Duration) Option {
	return func(c *Coordinator) { c.ownerTimeout = timeout }
}

// WithOrphanTimeout sets how long the requests of a peer count as in flight after the link to it broke.
func WithOrphanTimeout(span time.Duration) Option {
	return func(c *Coordinator) { c.orphanTimeout = span }
}

// WithCounter sets the function that counts events by name.
func WithCounter(count func(event string)) Option {
	return func(c *Coordinator) { c.count = count }
}

// WithColdPermission sets the function that returns until when this host may send work to the cold endpoints
// of a group that it owns.
//
// It is called whenever a group that this host owns is processed; wanted is true if the group has an open cold endpoint
// and its requests wait or are in flight.
func WithColdPermission(permission func(now time.Time, g group.Group, wanted bool) (until time.Time)) Option {
	return func(c *Coordinator) { c.coldPermission = permission }
}

// WithControlBudgetLow sets the function that reports whether the control budget hardly allows a message to other
// hosts; the groups then save messages, for example by binding locally. It is called whenever a group is processed and
// for every frame received about a known group.
func WithControlBudgetLow(isLow func(now time.Time) bool) Option {
	return func(c *Coordinator) { c.isControlBudgetLow = isLow }
}

const (
	defaultOwnerTimeout  = 25 * time.Millisecond
	defaultOrphanTimeout = 2 * time.Second
	defaultHoldTime      = 50 * time.Millisecond
)

// New returns a Coordinator without groups for the entry host self in the region.
func New(self, region string, l link, loc locator, m members, conns connections, options ...Option) *Coordinator {
	c := &Coordinator{
		self:               self,
		region:             region,
		clock:              time.Now,
		link:               l,
		locator:            loc,
		members:            m,
		connections:        conns,
		ownerTimeout:       defaultOwnerTimeout,
		orphanTimeout:      defaultOrphanTimeout,
		count:              func(string) {},
		coldPermission:     func(time.Time, group.Group, bool) time.Time { return time.Time{} },
		isControlBudgetLow: func(time.Time) bool { return false },
		groupStates:        make(map[group.Group]*groupState),
		groupsByNumber:     make(map[uint32]group.Group),
		holdTime:           defaultHoldTime,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// groupStateFor returns the group's state and creates it with the current endpoints and owner if there is none.
func (c *Coordinator) groupStateFor(g group.Group) *groupState {
	c.mu.RLock()
	found := c.groupStates[g]
	c.mu.RUnlock()
	if found != nil {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.groupStates[g]; found != nil {
		return found
	}
	created := newGroupState(g, arbiter.New(c.self, g))
	created.arbiter.SetHoldTime(c.holdTime)
	created.arbiter.SetOrphanTimeout(c.orphanTimeout)
	created.mu.Lock()
	defer created.mu.Unlock()
	c.updateGroup(c.clock(), g, created)
	c.groupStates[g] = created
	c.inCreationOrder = append(c.inCreationOrder, created)
	c.groupsByNumber[g.Number()] = g
	return created
}

// updateGroup sets the current endpoints and owner of a locked group state.
func (c *Coordinator) updateGroup(now time.Time, g group.Group, gs *groupState) {
	c.applyEffect(now, gs, gs.arbiter.SetEndpoints(now, c.locator.Endpoints(g), c.locator.IsZoneOut))
	c.applyEffect(now, gs, gs.arbiter.SetOwner(now, c.members.Owner(now, g), c.openConnectionCheck(g)))
}

func (c *Coordinator) openConnectionCheck(g group.Group) func(endpoint string) bool {
	return func(endpoint string) bool {
		for _, h := range c.locator.Endpoints(g) {
			if h.ID == endpoint {
				return c.connections.HasOpenConnection(h)
			}
		}
		return false
	}
}

// Update applies a change of the hosts, the configuration or the members to all groups.
func (c *Coordinator) Update(now time.Time) {
	for _, g := range c.locator.Groups() {
		if g.Region == c.region {
			c.groupStateFor(g)
		}
	}
	c.forEachGroup(func(g group.Group, gs *groupState) { c.updateGroup(now, g, gs) })
}

// SetHoldTime sets the hold time: how long idle credits are kept.
func (c *Coordinator) SetHoldTime(d time.Duration) {
	c.mu.Lock()
	c.holdTime = d
	c.mu.Unlock()
	c.forEachGroup(func(_ group.Group, gs *groupState) { gs.arbiter.SetHoldTime(d) })
}

// allGroupStates returns the states of all groups.
func (c *Coordinator) allGroupStates() []*groupState {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.inCreationOrder[:len(c.inCreationOrder):len(c.inCreationOrder)]
}

// forEachGroup locks the state of each group in turn and calls handle with it.
func (c *Coordinator) forEachGroup(handle func(g group.Group, gs *groupState)) {
	for _, gs := range c.allGroupStates() {
		gs.mu.Lock()
		handle(gs.group, gs)
		gs.mu.Unlock()
	}
}

// processGroupAfterPause processes the group of a locked group state if the last tick is so long ago that this process
// must have been paused, so that nothing is decided on outdated state.
func (c *Coordinator) processGroupAfterPause(now time.Time, gs *groupState) {
	if now.UnixNano()-c.lastTick.Load() > int64(pauseThreshold) {
		c.processGroup(now, gs)
	}
}

// activateGroup makes the group be processed at each tick until its arbiter is no longer busy, and speeds up a slowed
// ticker.
func (c *Coordinator) activateGroup(gs *groupState) {
	if gs.active.Swap(true) {
		return
	}
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	c.active = append(c.active, gs)
	if c.ticker != nil && c.tickerSlowed {
		c.tickerSlowed = false
		c.ticker.Reset(tickInterval)
	}
}

// applyEffect carries out the effect that a locked group state's arbiter returned and reports whether every demand
// was sent.
func (c *Coordinator) applyEffect(now time.Time, gs *groupState, e effect.Effect) (sent bool) {
	gs.unused.Store(false)
	sent = true
	for _, b := range e.Bound {
		if !gs.deliverBinding(now, b) {
			c.applyEffect(now, gs, gs.arbiter.Finish(now, b.Endpoint, b.Cold, report.Report{Cancelled: true, Unsent: true}))
		}
	}
	for _, id := range e.Expired {
		gs.expireRequest(now, id)
	}
	for _, outgoing := range e.Frames {
		err := c.link.Send(outgoing.To, outgoing.Frame)
		if err == nil {
			c.count("control_sent_" + counterNameOf(outgoing.Frame))
			continue
		}
		c.count("control_unsent")
		c.count("control_unsent_" + counterNameOf(outgoing.Frame))
		if !errors.Is(err, linker.ErrNotConnected) {
			gs.arbiter.QueueUnsent(outgoing.To, outgoing.Frame)
		}
		sent = sent && outgoing.Frame.GetDemand() == nil
	}
	return sent
}

// counterNameOf returns the name that counters use for the kind of a frame.
func counterNameOf(frame *wire.Frame) string {
	switch frame.GetBody().(type) {
	case *wire.Frame_Demand:
		return "demand"
	case *wire.Frame_Credit:
		if frame.GetCredit().GetCold() {
			return "cold_credit"
		}
		return "credit"
	case *wire.Frame_Release:
		return "release"
	case *wire.Frame_Recall:
		return "recall"
	case *wire.Frame_Holding:
		return "holding"
	case *wire.Frame_Sighting:
		return "sighting"
	default:
		return "other"
	}
}
