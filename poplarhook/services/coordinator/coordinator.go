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

// link sends frames to other entry hosts without waiting.
type link interface {
	Send(hostID string, frame *wire.Frame) error
}

// places gives the endpoints of each group and the availability zones that are out.
type places interface {
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

// connections tells whether a connection is open on which no close was seen.
type connections interface {
	Proved(endpoint host.Host) bool
}

// Coordinator binds requests to endpoints together with the other entry hosts, safe for concurrent use.
type Coordinator struct {
	self         string
	region       string
	clock        func() time.Time
	link         link
	places       places
	members      members
	connections  connections
	ownerTimeout time.Duration
	orphanFor    time.Duration
	count        func(event string)
	coldRight    func(now time.Time, g group.Group, wanted bool) (until time.Time)
	isShort      func(now time.Time) bool
	lastID       atomic.Uint64

	mu    sync.RWMutex
	cells map[group.Group]*cell
	// ordered holds the cells in the order of their creation; none is ever taken out.
	ordered  []*cell
	byNumber map[uint32]group.Group
	hold     time.Duration

	// lastTick is when the groups were last visited, in Unix nanoseconds.
	lastTick atomic.Int64

	activeMu sync.Mutex
	active   []*cell
	// ticker is nil while nothing runs; resting says that it is slowed down.
	ticker  *time.Ticker
	resting bool
}

// Option changes how a Coordinator is built.
type Option func(*Coordinator)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(c *Coordinator) { c.clock = clock }
}

// WithOwnerTimeout sets how long an owner may be silent before a request is bound alone.
func WithOwnerTimeout(timeout time.Duration) Option {
	return func(c *Coordinator) { c.ownerTimeout = timeout }
}

// WithOrphanFor sets how long the requests of a lost peer count as in flight.
func WithOrphanFor(span time.Duration) Option {
	return func(c *Coordinator) { c.orphanFor = span }
}

// WithCounter sets where events are counted.
func WithCounter(count func(event string)) Option {
	return func(c *Coordinator) { c.count = count }
}

// WithColdRight sets what tells until when this host may give work to the cold endpoints of a group that it owns.
//
// It is asked often, and told whether work waits for cold endpoints of the group.
func WithColdRight(right func(now time.Time, g group.Group, wanted bool) (until time.Time)) Option {
	return func(c *Coordinator) { c.coldRight = right }
}

// WithShort sets what tells whether the control budget hardly leaves a message for others; it is asked often.
func WithShort(isShort func(now time.Time) bool) Option {
	return func(c *Coordinator) { c.isShort = isShort }
}

const (
	defaultOwnerTimeout = 25 * time.Millisecond
	defaultOrphanFor    = 2 * time.Second
	defaultHold         = 50 * time.Millisecond
)

// New returns a Coordinator for the host in the region, without groups.
func New(self, region string, l link, p places, m members, conns connections, options ...Option) *Coordinator {
	c := &Coordinator{
		self:         self,
		region:       region,
		clock:        time.Now,
		link:         l,
		places:       p,
		members:      m,
		connections:  conns,
		ownerTimeout: defaultOwnerTimeout,
		orphanFor:    defaultOrphanFor,
		count:        func(string) {},
		coldRight:    func(time.Time, group.Group, bool) time.Time { return time.Time{} },
		isShort:      func(time.Time) bool { return false },
		cells:        make(map[group.Group]*cell),
		byNumber:     make(map[uint32]group.Group),
		hold:         defaultHold,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// cellFor returns the group's cell, which starts with the present endpoints and owner.
func (c *Coordinator) cellFor(g group.Group) *cell {
	c.mu.RLock()
	found := c.cells[g]
	c.mu.RUnlock()
	if found != nil {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.cells[g]; found != nil {
		return found
	}
	created := newCell(g, arbiter.New(c.self, g))
	created.arbiter.SetHold(c.hold)
	created.arbiter.SetOrphanFor(c.orphanFor)
	created.mu.Lock()
	defer created.mu.Unlock()
	c.update(c.clock(), g, created)
	c.cells[g] = created
	c.ordered = append(c.ordered, created)
	c.byNumber[g.Number()] = g
	return created
}

// update gives a locked cell its present endpoints and owner.
func (c *Coordinator) update(now time.Time, g group.Group, in *cell) {
	c.perform(now, in, in.arbiter.SetEndpoints(now, c.places.Endpoints(g), c.places.IsZoneOut))
	c.perform(now, in, in.arbiter.SetOwner(now, c.members.Owner(now, g), c.provedIn(g)))
}

func (c *Coordinator) provedIn(g group.Group) func(endpoint string) bool {
	return func(endpoint string) bool {
		for _, h := range c.places.Endpoints(g) {
			if h.ID == endpoint {
				return c.connections.Proved(h)
			}
		}
		return false
	}
}

// Update takes in a change of hosts, configuration or members.
func (c *Coordinator) Update(now time.Time) {
	for _, g := range c.places.Groups() {
		if g.Region == c.region {
			c.cellFor(g)
		}
	}
	c.each(func(g group.Group, in *cell) { c.update(now, g, in) })
}

// SetHold sets how long idle credits are kept.
func (c *Coordinator) SetHold(d time.Duration) {
	c.mu.Lock()
	c.hold = d
	c.mu.Unlock()
	c.each(func(_ group.Group, in *cell) { in.arbiter.SetHold(d) })
}

// all returns every cell.
func (c *Coordinator) all() []*cell {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ordered[:len(c.ordered):len(c.ordered)]
}

// each calls visit for every cell, locked.
func (c *Coordinator) each(visit func(g group.Group, in *cell)) {
	for _, in := range c.all() {
		in.mu.Lock()
		visit(in.group, in)
		in.mu.Unlock()
	}
}

// notice visits a locked cell before anything is decided in it after this process was paused.
func (c *Coordinator) notice(now time.Time, in *cell) {
	if now.UnixNano()-c.lastTick.Load() > int64(pausedAfter) {
		c.visit(now, in)
	}
}

// activate has the cell visited at each tick until it has nothing to wait for.
func (c *Coordinator) activate(in *cell) {
	if in.active.Swap(true) {
		return
	}
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	c.active = append(c.active, in)
	if c.ticker != nil && c.resting {
		c.resting = false
		c.ticker.Reset(tickEvery)
	}
}

// perform does what a locked cell's arbiter wants and reports whether every demand was sent.
func (c *Coordinator) perform(now time.Time, in *cell, e effect.Effect) (sent bool) {
	in.parked.Store(false)
	sent = true
	for _, b := range e.Bound {
		if !in.deliver(now, b) {
			c.perform(now, in, in.arbiter.Finish(now, b.Endpoint, b.Cold, report.Report{Cancelled: true, Unsent: true}))
		}
	}
	for _, id := range e.Expired {
		in.expire(now, id)
	}
	for _, outgoing := range e.Frames {
		err := c.link.Send(outgoing.To, outgoing.Frame)
		if err == nil {
			c.count("control_sent_" + kindOf(outgoing.Frame))
			continue
		}
		c.count("control_unsent")
		c.count("control_unsent_" + kindOf(outgoing.Frame))
		if !errors.Is(err, linker.ErrNotConnected) {
			in.arbiter.Unsent(outgoing.To, outgoing.Frame)
		}
		sent = sent && outgoing.Frame.GetDemand() == nil
	}
	return sent
}

// kindOf names the kind of a frame in counters.
func kindOf(frame *wire.Frame) string {
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
