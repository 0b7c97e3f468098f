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

// Arbiter decides, for one group at one entry host, to which endpoint each request is bound and, while the host owns
// the group, which credits are granted. It is not safe for concurrent use.
//
// Its methods never send anything: those that decide take the current time and return an Effect for the caller to
// carry out.
type Arbiter struct {
	self  string
	group group.Group

	owner              string
	lastOwnerMessageAt time.Time
	borrower           *borrower.Borrower
	holdTime           time.Duration
	observer           *observer.Observer
	// localInFlight counts the requests in flight that were bound without the owner, by endpoint.
	localInFlight map[string]int

	endpoints []host.Host
	byID      map[string]host.Host
	byNumber  map[uint32]string
	isZoneOut func(zone string) bool

	// demandSentAt holds when each unanswered demand of this host was first sent, by sequence number.
	demandSentAt map[uint64]time.Time
	// orphanTimeout is how long the credits of a lost borrower, or those lent in a lost ownership, count as in use.
	orphanTimeout time.Duration
	// coldAllowedFrom is the earliest time at which the owner may grant credits for cold endpoints.
	coldAllowedFrom time.Time
	// postponedDemands holds demands made after this host refused a credit; they are sent to the owner from
	// postponedUntil on.
	postponedDemands []demand.Demand
	postponedUntil   time.Time
	// coldReturns holds the cold credits of cancelled or failed requests until the endpoint must have stopped working
	// on them.
	coldReturns []coldReturn
	// ownerHoldTime is the hold time that the owner sent with its last credit.
	ownerHoldTime time.Duration
	// controlBudgetLow is true while this host's control budget allows hardly any messages to other hosts.
	controlBudgetLow bool
	// unsentFrames holds frames that could not be sent yet and that no other code path would send again.
	unsentFrames []effect.Outgoing
	// earlyFrames holds frames for the owner that arrived before this host became the owner.
	earlyFrames []earlyFrame
	// ownership is nil unless this host owns the group.
	ownership *ownership
}

// New returns an Arbiter of the host for the group, without endpoints or an owner.
func New(self string, g group.Group) *Arbiter {
	return &Arbiter{
		self:          self,
		group:         g,
		borrower:      borrower.New(self),
		holdTime:      defaultHoldTime,
		observer:      observer.New(),
		localInFlight: make(map[string]int),
		byID:          make(map[string]host.Host),
		byNumber:      make(map[uint32]string),
		isZoneOut:     func(string) bool { return false },
		demandSentAt:  make(map[uint64]time.Time),

		orphanTimeout: defaultOrphanTimeout,
	}
}

const (
	defaultHoldTime = 50 * time.Millisecond
	// defaultOrphanTimeout gives a request one second to end after the latest time at which it may be sent.
	defaultOrphanTimeout = lender.ColdValidity + time.Second
	// demandRetention is how long the sending time of an unanswered demand is kept once maxRecordedDemands is
	// reached.
	demandRetention    = time.Minute
	maxRecordedDemands = 16384
)

// Owner returns the entry host that owns the group, or an empty string if there is none.
func (a *Arbiter) Owner() string {
	return a.owner
}

// IsOwner reports whether this host owns the group.
func (a *Arbiter) IsOwner() bool {
	return a.ownership != nil
}

// SetEndpoints replaces the group's endpoints and the function that reports whether an availability zone is out of
// service.
func (a *Arbiter) SetEndpoints(now time.Time, endpoints []host.Host, zoneOut func(zone string) bool) effect.Effect {
	a.endpoints = endpoints
	a.isZoneOut = zoneOut
	clear(a.byID)
	clear(a.byNumber)
	for _, h := range endpoints {
		a.byID[h.ID] = h
		a.byNumber[number(h.ID)] = h.ID
	}
	a.observer.Retain(func(id string) bool { _, ok := a.byID[id]; return ok })
	var e effect.Effect
	if a.ownership != nil {
		a.ownership.setEndpoints(now, endpoints, zoneOut)
		e.Add(a.grantAvailable(now))
	}
	e.Add(a.updateBorrower(now))
	return e
}

// SetHoldTime sets the hold time: the minimum time for which this host keeps an idle credit before it returns it. A
// longer hold time sent by the owner takes precedence.
//
// The owner itself never keeps idle credits, since its own demands cost no messages.
func (a *Arbiter) SetHoldTime(d time.Duration) {
	a.holdTime = d
	d = max(d, a.ownerHoldTime)
	if a.ownership != nil {
		d = 0
	}
	a.borrower.SetHoldTime(d)
}

// SetControlBudgetLow sets whether this host's control budget allows hardly any messages to other hosts.
//
// While it is low, an owner grants credits only to its own requests, since a credit that waits to be sent keeps its
// endpoint idle.
func (a *Arbiter) SetControlBudgetLow(low bool) {
	a.controlBudgetLow = low
	if a.ownership == nil {
		return
	}
	reserved := ""
	if low {
		reserved = a.self
	}
	a.ownership.lender.ReserveFor(reserved)
	a.ownership.lender.SetFewestFirst(a.holdTime >= slowTransferHoldTime)
}

// SetOrphanTimeout sets how long the credits of a lost borrower, or those lent in a lost ownership, count as in use.
func (a *Arbiter) SetOrphanTimeout(d time.Duration) {
	a.orphanTimeout = d
}

// Tick does the work that is due at the given time, such as resending frames and returning cold credits.
func (a *Arbiter) Tick(now time.Time) effect.Effect {
	var e effect.Effect
	if a.ownership != nil {
		e.Add(a.tickOwner(now))
	}
	e.Add(a.updateBorrower(now))
	e.Add(a.returnColdCredits(now))
	e.Add(a.sendPostponedDemands(now))
	e.Add(a.performActions(now, a.borrower.Tick(now)))
	e.Add(a.resendUnsentFrames())
	a.pruneDemands(now)
	a.expireEarlyFrames(now)
	return e
}

// IsBusy reports whether the group needs a Tick soon: requests or demands wait, or idle credits, unsent frames, cold
// credits to return or recent notices of scarce credits are kept.
func (a *Arbiter) IsBusy() bool {
	if a.borrower.Waiting() > 0 || a.borrower.Idle() > 0 || len(a.unsentFrames) > 0 || len(a.coldReturns) > 0 {
		return true
	}
	return a.ownership != nil && a.ownership.isBusy()
}

// IsUnused reports whether this host has no requests and no credits of the group and has lent none to other hosts.
func (a *Arbiter) IsUnused() bool {
	if a.IsBusy() || len(a.localInFlight) > 0 || len(a.borrower.InFlight()) > 0 {
		return false
	}
	return a.ownership == nil || a.ownership.lender.Lent() == 0
}

// HasOpenEndpoint reports whether this host knows an endpoint that may get new requests.
func (a *Arbiter) HasOpenEndpoint(now time.Time) bool {
	for _, h := range a.endpoints {
		if a.isOpen(now, h) {
			return true
		}
	}
	return false
}

func (a *Arbiter) isOpen(now time.Time, h host.Host) bool {
	return !h.IsLeaving() && !a.isZoneOut(h.AvailabilityZone) && !a.observer.IsLeaving(now, h.ID)
}

// updateBorrower gives the borrower the endpoints' capacities, which decide which credits it may use. On the owner
// they are the capacities that its lender uses; on other hosts they come from what the host itself observed.
func (a *Arbiter) updateBorrower(now time.Time) effect.Effect {
	if a.ownership != nil {
		return a.performActions(now, a.borrower.SetCapacities(now, a.ownership.appliedCapacities))
	}
	capacities := make([]capacity.Capacity, 0, len(a.endpoints))
	for _, h := range a.endpoints {
		capacities = append(capacities, capacity.Capacity{
			Endpoint: h.ID,
			Limit:    limitOf(h),
			Open:     a.isOpen(now, h),
			Cold:     a.observer.IsSuspect(now, h.ID),
		})
	}
	return a.performActions(now, a.borrower.SetCapacities(now, capacities))
}

// maxRounds limits how many times in a row the owner's borrower and lender may answer each other within one call.
const maxRounds = 64

// performActions turns the borrower's actions into effects. On the owner, demands and releases are carried out at
// once by its own lender.
//
// Demands that are still unanswered after maxRounds are dropped here; the borrower sends them again later.
func (a *Arbiter) performActions(now time.Time, requested action.Action) effect.Effect {
	var e effect.Effect
	for round := 0; !requested.IsEmpty(); round++ {
		e.Bound = append(e.Bound, requested.Bound...)
		e.Expired = append(e.Expired, requested.Expired...)
		if a.ownership == nil {
			a.sendToOwner(now, &e, requested)
			return e
		}
		if round >= maxRounds {
			requested.Demands = nil
		}
		requested = a.performAtOwner(now, &e, requested)
	}
	return e
}

// sendToOwner queues the borrower's messages for the owner. While there is no owner they are dropped, and the
// borrower sends its demands again later.
func (a *Arbiter) sendToOwner(now time.Time, e *effect.Effect, requested action.Action) {
	if a.owner == "" {
		return
	}
	if len(requested.Refused) > 0 || len(a.postponedDemands) > 0 {
		a.postponeDemands(now, requested.Demands)
	} else {
		a.sendDemands(now, e, requested.Demands)
	}
	for _, r := range requested.Releases {
		e.Send(a.owner, a.releaseFrame(r))
	}
}

func (a *Arbiter) sendDemands(now time.Time, e *effect.Effect, demands []demand.Demand) {
	for _, d := range demands {
		a.recordDemand(now, d.Sequence, d.Count)
		e.Send(a.owner, a.demandFrame(now, d))
	}
}

// postponeDelay is how long this host waits before it sends a demand again after it refused a credit.
const postponeDelay = 10 * time.Millisecond

// postponeDemands keeps demands back for postponeDelay after this host refused a credit, which shows that this host and
// the owner have different views of the group's endpoints.
//
// Without the delay, the owner would grant and this host would refuse the credits of two endpoints in turn, as fast
// as frames travel, when in this host's view neither may get requests and in the owner's both may.
func (a *Arbiter) postponeDemands(now time.Time, demands []demand.Demand) {
	if len(a.postponedDemands) == 0 {
		a.postponedUntil = now.Add(postponeDelay)
	}
	a.postponedDemands = append(a.postponedDemands, demands...)
}

// sendPostponedDemands sends the postponed demands to the owner once postponeDelay is over, except those that have
// expired.
func (a *Arbiter) sendPostponedDemands(now time.Time) effect.Effect {
	var e effect.Effect
	if len(a.postponedDemands) == 0 || now.Before(a.postponedUntil) {
		return e
	}
	due := slices.DeleteFunc(a.postponedDemands, func(d demand.Demand) bool { return d.IsExpired(now) })
	a.postponedDemands = nil
	if a.ownership == nil && a.owner != "" {
		a.sendDemands(now, &e, due)
	}
	return e
}

func (a *Arbiter) recordDemand(now time.Time, sequence uint64, count int) {
	for i := range uint64(count) {
		if _, sent := a.demandSentAt[sequence+i]; !sent {
			a.demandSentAt[sequence+i] = now
		}
	}
}

func (a *Arbiter) pruneDemands(now time.Time) {
	if len(a.demandSentAt) < maxRecordedDemands {
		return
	}
	for sequence, sentAt := range a.demandSentAt {
		if now.Sub(sentAt) > demandRetention {
			delete(a.demandSentAt, sequence)
		}
	}
}

// unlistedPrefix starts the placeholder id of an endpoint of which this host knows only the number: frames name an
// endpoint by a 32-bit hash of its id.
const unlistedPrefix = "#"

// number returns the number that identifies an endpoint in frames between entry hosts.
func number(endpoint string) uint32 {
	if digits, isUnlisted := strings.CutPrefix(endpoint, unlistedPrefix); isUnlisted {
		n, _ := strconv.ParseUint(digits, 10, 32)
		return uint32(n)
	}
	return uint32(xxhash.Sum64String(endpoint))
}

// idOf returns the id of the listed endpoint with the number, or a placeholder id from which number gives the same
// number.
func (a *Arbiter) idOf(number uint32) string {
	if id, listed := a.byNumber[number]; listed {
		return id
	}
	return unlistedPrefix + strconv.FormatUint(uint64(number), 10)
}

// limitOf returns the maximum number of requests in flight at a warm endpoint. It is one more than the endpoint's
// slots, to hide the network delay to the endpoint.
func limitOf(h host.Host) int {
	return max(h.Slots, 1) + 1
}

// Endpoint returns the listed endpoint with the id.
func (a *Arbiter) Endpoint(id string) (host.Host, bool) {
	h, listed := a.byID[id]
	return h, listed
}
