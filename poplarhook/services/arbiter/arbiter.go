package arbiter

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/borrower"
	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/lender"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/observer"
)

// Arbiter decides for one group at one entry host; it is not safe for concurrent use.
//
// Each method that decides takes the present time and returns what is to be done.
type Arbiter struct {
	self  string
	group group.Group

	owner    string
	heardAt  time.Time
	borrower *borrower.Borrower
	hold     time.Duration
	observer *observer.Observer
	alone    map[string]int

	endpoints []host.Host
	byID      map[string]host.Host
	byNumber  map[uint32]string
	zoneOut   func(zone string) bool

	// demanded holds when each unanswered demand of this host was first sent, by its number.
	demanded map[uint64]time.Time
	// orphanFor is how long the credits of a lost borrower, or of a lost ownership, may be in use.
	orphanFor time.Duration
	// coldFrom is from when the owner may give work to cold endpoints.
	coldFrom time.Time
	// postponed holds demands made after a credit was refused; they go to the owner from postponedUntil on.
	postponed      []demand.Demand
	postponedUntil time.Time
	// settling holds cold credits of requests that were given up, until the endpoint must have noticed.
	settling []settlement
	// ownerHold is how long the owner last wanted credits to be kept.
	ownerHold time.Duration
	// short says that the control budget hardly leaves a message for others.
	short bool
	// unsent holds the frames that could not be sent yet and that nothing would send again.
	unsent []effect.Outgoing
	// early holds the frames for the owner that came before this host owned the group.
	early []earlyFrame
	// owned is nil unless this host owns the group.
	owned *ownership
}

// New returns an Arbiter of the host for the group, without endpoints or an owner.
func New(self string, g group.Group) *Arbiter {
	return &Arbiter{
		self:     self,
		group:    g,
		borrower: borrower.New(self),
		hold:     defaultHold,
		observer: observer.New(),
		alone:    make(map[string]int),
		byID:     make(map[string]host.Host),
		byNumber: make(map[uint32]string),
		zoneOut:  func(string) bool { return false },
		demanded: make(map[uint64]time.Time),

		orphanFor: defaultOrphanFor,
	}
}

const (
	defaultHold = 50 * time.Millisecond
	// defaultOrphanFor leaves a request a second after the last moment at which it may be sent.
	defaultOrphanFor = lender.ColdValidity + time.Second
	// demandMemory is how long an unanswered demand's sending time is kept.
	demandMemory = time.Minute
	maxDemanded  = 16384
)

// Owner returns the entry host that owns the group, empty for none.
func (a *Arbiter) Owner() string {
	return a.owner
}

// IsOwner reports whether this host owns the group.
func (a *Arbiter) IsOwner() bool {
	return a.owned != nil
}

// SetEndpoints replaces the group's endpoints and the test for availability zones that are out.
func (a *Arbiter) SetEndpoints(now time.Time, endpoints []host.Host, zoneOut func(zone string) bool) effect.Effect {
	a.endpoints = endpoints
	a.zoneOut = zoneOut
	clear(a.byID)
	clear(a.byNumber)
	for _, h := range endpoints {
		a.byID[h.ID] = h
		a.byNumber[number(h.ID)] = h.ID
	}
	a.observer.Retain(func(id string) bool { _, ok := a.byID[id]; return ok })
	var e effect.Effect
	if a.owned != nil {
		a.owned.setEndpoints(now, endpoints, zoneOut)
		e.Add(a.lend(now))
	}
	e.Add(a.refresh(now))
	return e
}

// SetHold sets how long an idle credit is kept at least; the owner may want that for longer.
//
// The owner's own are never kept, since asking costs it nothing.
func (a *Arbiter) SetHold(d time.Duration) {
	a.hold = d
	d = max(d, a.ownerHold)
	if a.owned != nil {
		d = 0
	}
	a.borrower.SetHold(d)
}

// SetShort says whether the control budget hardly leaves a message for others.
//
// An owner then grants to its own requests only, since a credit that waits to be sent keeps its endpoint idle.
func (a *Arbiter) SetShort(short bool) {
	a.short = short
	if a.owned == nil {
		return
	}
	reserved := ""
	if short {
		reserved = a.self
	}
	a.owned.lender.Reserve(reserved)
	a.owned.lender.SetEven(a.hold >= coarseHold)
}

// SetOrphanFor sets how long the credits of a lost borrower, or of a lost ownership, count as in use.
func (a *Arbiter) SetOrphanFor(d time.Duration) {
	a.orphanFor = d
}

// Tick does what the passing of time calls for.
func (a *Arbiter) Tick(now time.Time) effect.Effect {
	var e effect.Effect
	if a.owned != nil {
		e.Add(a.tickOwner(now))
	}
	e.Add(a.refresh(now))
	e.Add(a.settleCold(now))
	e.Add(a.sendPostponed(now))
	e.Add(a.act(now, a.borrower.Tick(now)))
	e.Add(a.resend())
	a.forgetDemands(now)
	a.forgetEarly(now)
	return e
}

// IsBusy reports whether the group needs a Tick soon.
func (a *Arbiter) IsBusy() bool {
	if a.borrower.Waiting() > 0 || a.borrower.Idle() > 0 || len(a.unsent) > 0 || len(a.settling) > 0 {
		return true
	}
	return a.owned != nil && a.owned.isBusy()
}

// IsUnused reports whether the group has neither work nor credits on this host, nor lent to others by it.
func (a *Arbiter) IsUnused() bool {
	if a.IsBusy() || len(a.alone) > 0 || len(a.borrower.InFlight()) > 0 {
		return false
	}
	return a.owned == nil || a.owned.lender.Lent() == 0
}

// HasOpen reports whether this host knows of an endpoint that may get new work.
func (a *Arbiter) HasOpen(now time.Time) bool {
	for _, h := range a.endpoints {
		if a.isOpen(now, h) {
			return true
		}
	}
	return false
}

func (a *Arbiter) isOpen(now time.Time, h host.Host) bool {
	return !h.IsLeaving() && !a.zoneOut(h.AvailabilityZone) && !a.observer.IsLeaving(now, h.ID)
}

// refresh tells the borrower which credits it may use: the owner's by the states that it lends by, others' by what they saw.
func (a *Arbiter) refresh(now time.Time) effect.Effect {
	if a.owned != nil {
		return a.act(now, a.borrower.SetCapacities(now, a.owned.applied))
	}
	capacities := make([]capacity.Capacity, 0, len(a.endpoints))
	for _, h := range a.endpoints {
		capacities = append(capacities, capacity.Capacity{
			Endpoint: h.ID,
			Limit:    limitOf(h),
			Open:     a.isOpen(now, h),
			Cold:     a.observer.IsDoubted(now, h.ID),
		})
	}
	return a.act(now, a.borrower.SetCapacities(now, capacities))
}

// maxRounds bounds how often the owner's borrower and lender answer each other at one moment.
const maxRounds = 64

// act turns what the borrower wants into effects; demands and releases to itself are settled at once.
//
// Demands that are still open after maxRounds are left for the borrower to send again.
func (a *Arbiter) act(now time.Time, wanted action.Action) effect.Effect {
	var e effect.Effect
	for round := 0; !wanted.IsEmpty(); round++ {
		e.Bound = append(e.Bound, wanted.Bound...)
		e.Expired = append(e.Expired, wanted.Expired...)
		if a.owned == nil {
			a.sendToOwner(now, &e, wanted)
			return e
		}
		if round >= maxRounds {
			wanted.Demands = nil
		}
		wanted = a.settle(now, &e, wanted)
	}
	return e
}

// sendToOwner queues the borrower's messages for the owner; without one, demands are sent again later.
func (a *Arbiter) sendToOwner(now time.Time, e *effect.Effect, wanted action.Action) {
	if a.owner == "" {
		return
	}
	if len(wanted.Refused) > 0 || len(a.postponed) > 0 {
		a.postpone(now, wanted.Demands)
	} else {
		a.sendDemands(now, e, wanted.Demands)
	}
	for _, r := range wanted.Releases {
		e.Send(a.owner, a.releaseFrame(r))
	}
}

func (a *Arbiter) sendDemands(now time.Time, e *effect.Effect, demands []demand.Demand) {
	for _, d := range demands {
		a.noteDemand(now, d.Sequence, d.Count)
		e.Send(a.owner, a.demandFrame(now, d))
	}
}

// postponeFor is how long this host waits before it asks again after it refused a credit.
const postponeFor = 10 * time.Millisecond

// postpone keeps demands back while this host and the owner see endpoints otherwise.
//
// Else two endpoints that are closed here and open there are granted and
// refused in turns as fast as frames travel.
func (a *Arbiter) postpone(now time.Time, demands []demand.Demand) {
	if len(a.postponed) == 0 {
		a.postponedUntil = now.Add(postponeFor)
	}
	a.postponed = append(a.postponed, demands...)
}

// sendPostponed sends the demands whose time has come and that are still worth it.
func (a *Arbiter) sendPostponed(now time.Time) effect.Effect {
	var e effect.Effect
	if len(a.postponed) == 0 || now.Before(a.postponedUntil) {
		return e
	}
	due := slices.DeleteFunc(a.postponed, func(d demand.Demand) bool { return d.IsExpired(now) })
	a.postponed = nil
	if a.owned == nil && a.owner != "" {
		a.sendDemands(now, &e, due)
	}
	return e
}

func (a *Arbiter) noteDemand(now time.Time, sequence uint64, count int) {
	for i := range uint64(count) {
		if _, sent := a.demanded[sequence+i]; !sent {
			a.demanded[sequence+i] = now
		}
	}
}

func (a *Arbiter) forgetDemands(now time.Time) {
	if len(a.demanded) < maxDemanded {
		return
	}
	for sequence, sentAt := range a.demanded {
		if now.Sub(sentAt) > demandMemory {
			delete(a.demanded, sequence)
		}
	}
}

// unlisted starts the id of an endpoint that another host knows only by its number.
const unlisted = "#"

// number stands for an endpoint between entry hosts.
func number(endpoint string) uint32 {
	if digits, isUnlisted := strings.CutPrefix(endpoint, unlisted); isUnlisted {
		n, _ := strconv.ParseUint(digits, 10, 32)
		return uint32(n)
	}
	return uint32(xxhash.Sum64String(endpoint))
}

// idOf returns the listed endpoint of the number, or an id that only gives the number back.
func (a *Arbiter) idOf(number uint32) string {
	if id, listed := a.byNumber[number]; listed {
		return id
	}
	return unlisted + strconv.FormatUint(uint64(number), 10)
}

// limitOf is the most requests in flight at a warm endpoint: one more than its slots hides the way to it.
func limitOf(h host.Host) int {
	return max(h.Slots, 1) + 1
}

// Endpoint returns the listed endpoint of the id.
func (a *Arbiter) Endpoint(id string) (host.Host, bool) {
	h, listed := a.byID[id]
	return h, listed
}
