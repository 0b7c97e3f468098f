package arbiter

import (
	"maps"
	"slices"
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/lender"
	endpointreport "poplarhook.example/lib/report"
	"poplarhook.example/lib/warmer"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
)

// ownership is the state that only the owner of a group keeps, in addition to its borrower.
type ownership struct {
	self              string
	lender            *lender.Lender
	endpoints         []host.Host
	warmers           map[string]*warmer.Warmer
	appliedCapacities []capacity.Capacity
	// arrivals holds when each demand of a peer that waits for its credit arrived. A cold credit is sent with its
	// validity counted from that time, and the peer counts the validity from when it sent the demand.
	arrivals       map[demandKey]demandArrival
	acknowledgedAt map[string]time.Time
	// lastSeenAt holds, for each endpoint, the time of this host's latest exchange with it or probe of it, or of the
	// latest report of a peer's requests that it completed.
	lastSeenAt map[string]time.Time
}

type demandKey struct {
	borrower string
	sequence uint64
}

type demandArrival struct {
	arrivedAt time.Time
	expiresAt time.Time
}

const (
	// acknowledgeInterval is the minimum time between two notices to a waiting peer that credits are scarce.
	acknowledgeInterval = 50 * time.Millisecond
	// lateThreshold is the age from which a cancelled request counts as a failure of the endpoint that it was sent to.
	lateThreshold = 500 * time.Millisecond
)

func newOwnership(self string) *ownership {
	return &ownership{
		self:           self,
		lender:         lender.New(),
		warmers:        make(map[string]*warmer.Warmer),
		arrivals:       make(map[demandKey]demandArrival),
		acknowledgedAt: make(map[string]time.Time),
		lastSeenAt:     make(map[string]time.Time),
	}
}

// applyCapacities passes the endpoints' current capacities to the lender. It returns the credits that the lender then
// grants, and whether any capacity changed.
func (o *ownership) applyCapacities(now time.Time) (credits []credit.Credit, changed bool) {
	current := o.capacities(now)
	if slices.Equal(current, o.appliedCapacities) {
		return nil, false
	}
	o.appliedCapacities = current
	return o.lender.SetCapacities(now, current), true
}

func (o *ownership) capacities(now time.Time) []capacity.Capacity {
	capacities := make([]capacity.Capacity, 0, len(o.endpoints))
	for _, h := range o.endpoints {
		capacities = append(capacities, o.warmers[h.ID].Capacity(now, h.ID, max(h.Slots, 1)))
	}
	return capacities
}

func (o *ownership) hasColdEndpoint(now time.Time) bool {
	for _, h := range o.endpoints {
		if w := o.warmers[h.ID]; w.Open(now) && w.Cold(now) {
			return true
		}
	}
	return false
}

// hasDemand reports whether requests for the group wait or credits of it are lent.
func (o *ownership) hasDemand() bool {
	return o.lender.Waiting() > 0 || o.lender.Lent() > 0
}

func (o *ownership) isBusy() bool {
	return o.lender.Waiting() > 0 || len(o.acknowledgedAt) > 0
}

// borrowersOf returns the borrowers that hold credits for the endpoint, except the given one.
func (o *ownership) borrowersOf(endpoint, except string) []string {
	var peers []string
	for _, row := range o.lender.Snapshot() {
		if row.Endpoint == endpoint && row.Count > 0 && row.Borrower != except && row.Borrower != "" {
			peers = append(peers, row.Borrower)
		}
	}
	return peers
}

func (o *ownership) recordDemand(now time.Time, d demand.Demand) {
	for i := range uint64(d.Count) {
		o.arrivals[demandKey{d.Borrower, d.Sequence + i}] = demandArrival{arrivedAt: now, expiresAt: d.Until}
	}
}

// recordAcknowledgementIfDue reports whether the waiting peer may be notified now that the group's credits are scarce:
// its last notice is at least acknowledgeInterval old. It then records now as the time of the peer's notice.
func (o *ownership) recordAcknowledgementIfDue(now time.Time, peer string) bool {
	if now.Sub(o.acknowledgedAt[peer]) < acknowledgeInterval {
		return false
	}
	o.acknowledgedAt[peer] = now
	return true
}

// pruneRecords drops the records of expired demands of peers and of old notices to peers that credits are scarce.
func (o *ownership) pruneRecords(now time.Time) {
	for key, arrival := range o.arrivals {
		if now.After(arrival.expiresAt) {
			delete(o.arrivals, key)
		}
	}
	for peer, at := range o.acknowledgedAt {
		if now.Sub(at) > time.Second {
			delete(o.acknowledgedAt, peer)
		}
	}
}

// applyHolding applies a borrower's report of its requests in flight at an endpoint and of whether it knows the
// endpoint to be warm.
func (o *ownership) applyHolding(now time.Time, borrower, endpoint string, h *wire.Holding) []credit.Credit {
	w, listed := o.warmers[endpoint]
	if !listed {
		return nil
	}
	// The report does not say when the endpoint was seen warm, so anything already known here about the endpoint
	// takes precedence.
	if h.GetWarm() && w.State(now) == warmer.StateNew {
		o.assumeWarm(endpoint, "")
	}
	return o.lender.SetHolding(now, borrower, endpoint, int(h.GetCount()))
}

// creditFrame returns the frame that sends a peer its credit. The validity of a cold credit counts from when the
// peer sent its demand.
func (o *ownership) creditFrame(g group.Group, c credit.Credit, holdTime time.Duration) *wire.Frame {
	arrival := o.arrivals[demandKey{c.Borrower, c.Sequence}]
	for i := range uint64(c.Count) {
		delete(o.arrivals, demandKey{c.Borrower, c.Sequence + i})
	}
	ttl := time.Duration(0)
	if !c.Until.IsZero() && !arrival.arrivedAt.IsZero() {
		ttl = max(c.Until.Sub(arrival.arrivedAt), 0)
	}
	return &wire.Frame{Body: &wire.Frame_Credit{Credit: &wire.Credit{
		Group:    g.Number(),
		Endpoint: number(c.Endpoint),
		Count:    uint32(c.Count),
		TtlMs:    uint32(ttl.Milliseconds()),
		Sequence: c.Sequence,
		Cold:     c.Cold,
		Scarce:   c.Scarce,
		HoldMs:   uint32(holdTime.Milliseconds()),
	}}}
}

// recordExchange records the outcome of one of this host's own exchanges with an endpoint.
func (o *ownership) recordExchange(now time.Time, endpoint string, r report.Report) {
	w, listed := o.warmers[endpoint]
	if !listed {
		return
	}
	if !r.Cancelled {
		o.lastSeenAt[endpoint] = now
	}
	switch {
	case r.Cancelled:
		if r.Latency >= lateThreshold {
			w.Failure(now)
		}
	case r.Err != nil:
		w.ConnectionReset(now)
		w.Failure(now)
	default:
		w.Success(now, r.Incarnation, now.Add(-r.Latency), 1)
		if r.HasLoad {
			w.Observe(now, endpointreport.Report{Incarnation: r.Incarnation, Cold: r.Cold, Leaving: r.Leaving})
		}
	}
}

// applySighting applies what another host reports about an endpoint.
func (o *ownership) applySighting(now time.Time, s *wire.Sighting) {
	w, listed := o.warmers[s.GetEndpointId()]
	if !listed {
		return
	}
	if s.GetReset_() {
		w.ConnectionReset(now)
		return
	}
	if s.GetFailed() {
		w.ConnectionReset(now)
		w.Failure(now)
		return
	}
	if s.GetWarm() {
		w.Success(now, s.GetIncarnation(), now, 1)
	}
	w.Observe(now, endpointreport.Report{Incarnation: s.GetIncarnation(), Cold: s.GetCold(), Leaving: s.GetLeaving()})
}

// recordProbe records the result of a health probe, which never makes the endpoint count as warm.
func (o *ownership) recordProbe(now time.Time, endpoint string, r report.Report) {
	w, listed := o.warmers[endpoint]
	if !listed {
		return
	}
	o.lastSeenAt[endpoint] = now
	if r.Err != nil {
		w.ConnectionReset(now)
		w.Failure(now)
		return
	}
	if r.HasLoad {
		w.Observe(now, endpointreport.Report{Incarnation: r.Incarnation, Cold: r.Cold, Leaving: r.Leaving})
	}
}

// silentEndpoints returns the endpoints about which nothing was learned for at least the given time.
func (o *ownership) silentEndpoints(now time.Time, silentFor time.Duration) []host.Host {
	var hosts []host.Host
	for _, h := range o.endpoints {
		if now.Sub(o.lastSeenAt[h.ID]) >= silentFor {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// recordCompleted records how many requests of a peer the endpoint has answered. They count as successes only while
// the endpoint is warm.
func (o *ownership) recordCompleted(now time.Time, endpoint string, count int) {
	w, listed := o.warmers[endpoint]
	if !listed || count == 0 {
		return
	}
	o.lastSeenAt[endpoint] = now
	if !w.Cold(now) {
		w.Success(now, "", now, count)
	}
}

func (o *ownership) assumeWarm(endpoint, incarnation string) {
	for _, h := range o.endpoints {
		if h.ID == endpoint {
			o.warmers[endpoint].AssumeWarm(incarnation, max(h.Slots, 1))
		}
	}
}

func (o *ownership) setEndpoints(now time.Time, hosts []host.Host, zoneOut func(string) bool) {
	o.endpoints = hosts
	listed := make(map[string]*warmer.Warmer, len(hosts))
	for _, h := range hosts {
		w, known := o.warmers[h.ID]
		if !known {
			w = warmer.New()
		}
		w.SetListed(now, true, h.IsLeaving(), h.Incarnation)
		if zoneOut(h.AvailabilityZone) {
			w.ZoneOut(now)
		} else {
			w.ZoneBack(now)
		}
		listed[h.ID] = w
	}
	o.warmers = listed
	maps.DeleteFunc(o.lastSeenAt, func(id string, _ time.Time) bool { return listed[id] == nil })
}
