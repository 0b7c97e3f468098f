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

// ownership is what the owner of a group keeps beyond a borrower.
type ownership struct {
	self    string
	lender  *lender.Lender
	hosts   []host.Host
	warmers map[string]*warmer.Warmer
	applied []capacity.Capacity
	// received holds when each waiting demand of a peer came, so that a cold credit's life counts from its sending.
	received map[right]received
	told     map[string]time.Time
	// heard holds when each endpoint last gave a sign.
	heard map[string]time.Time
}

type right struct {
	borrower string
	sequence uint64
}

type received struct {
	at    time.Time
	until time.Time
}

const (
	acknowledgeEvery = 50 * time.Millisecond
	// lateAfter is the age at which a request given up counts against its endpoint.
	lateAfter = 500 * time.Millisecond
)

func newOwnership(self string) *ownership {
	return &ownership{
		self:     self,
		lender:   lender.New(),
		warmers:  make(map[string]*warmer.Warmer),
		received: make(map[right]received),
		told:     make(map[string]time.Time),
		heard:    make(map[string]time.Time),
	}
}

// apply gives the lender the endpoints' present states and returns what it grants, and whether any state changed.
func (o *ownership) apply(now time.Time) (credits []credit.Credit, changed bool) {
	present := o.capacities(now)
	if slices.Equal(present, o.applied) {
		return nil, false
	}
	o.applied = present
	return o.lender.SetCapacities(now, present), true
}

func (o *ownership) capacities(now time.Time) []capacity.Capacity {
	capacities := make([]capacity.Capacity, 0, len(o.hosts))
	for _, h := range o.hosts {
		capacities = append(capacities, o.warmers[h.ID].Capacity(now, h.ID, max(h.Slots, 1)))
	}
	return capacities
}

func (o *ownership) hasCold(now time.Time) bool {
	for _, h := range o.hosts {
		if w := o.warmers[h.ID]; w.Open(now) && w.Cold(now) {
			return true
		}
	}
	return false
}

// hasDemand reports whether work waits for the group or is under way.
func (o *ownership) hasDemand() bool {
	return o.lender.Waiting() > 0 || o.lender.Lent() > 0
}

func (o *ownership) isBusy() bool {
	return o.lender.Waiting() > 0 || len(o.told) > 0
}

// borrowersOf returns the peers that hold credits for the endpoint.
func (o *ownership) borrowersOf(endpoint, except string) []string {
	var peers []string
	for _, row := range o.lender.Snapshot() {
		if row.Endpoint == endpoint && row.Count > 0 && row.Borrower != except && row.Borrower != "" {
			peers = append(peers, row.Borrower)
		}
	}
	return peers
}

func (o *ownership) noteDemand(now time.Time, d demand.Demand) {
	for i := range uint64(d.Count) {
		o.received[right{d.Borrower, d.Sequence + i}] = received{at: now, until: d.Until}
	}
}

// mayAcknowledge bounds how often a waiting peer hears that credits are scarce.
func (o *ownership) mayAcknowledge(now time.Time, peer string) bool {
	if now.Sub(o.told[peer]) < acknowledgeEvery {
		return false
	}
	o.told[peer] = now
	return true
}

// forget drops what is noted of demands that are over.
func (o *ownership) forget(now time.Time) {
	for key, r := range o.received {
		if now.After(r.until) {
			delete(o.received, key)
		}
	}
	for peer, at := range o.told {
		if now.Sub(at) > time.Second {
			delete(o.told, peer)
		}
	}
}

// hold takes in what a borrower has in flight at an endpoint, and which endpoints it knows to be warm.
func (o *ownership) hold(now time.Time, borrower, endpoint string, h *wire.Holding) []credit.Credit {
	w, listed := o.warmers[endpoint]
	if !listed {
		return nil
	}
	// A claim says nothing of when the endpoint was warm, so whatever is known of it here goes before.
	if h.GetWarm() && w.State(now) == warmer.StateNew {
		o.assumeWarm(endpoint, "")
	}
	return o.lender.Hold(now, borrower, endpoint, int(h.GetCount()))
}

// creditFrame tells a peer of its credit; a cold one's life counts from when its demand was sent.
func (o *ownership) creditFrame(g group.Group, c credit.Credit, hold time.Duration) *wire.Frame {
	r := o.received[right{c.Borrower, c.Sequence}]
	for i := range uint64(c.Count) {
		delete(o.received, right{c.Borrower, c.Sequence + i})
	}
	ttl := time.Duration(0)
	if !c.Until.IsZero() && !r.at.IsZero() {
		ttl = max(c.Until.Sub(r.at), 0)
	}
	return &wire.Frame{Body: &wire.Frame_Credit{Credit: &wire.Credit{
		Group:    g.Number(),
		Endpoint: number(c.Endpoint),
		Count:    uint32(c.Count),
		TtlMs:    uint32(ttl.Milliseconds()),
		Sequence: c.Sequence,
		Cold:     c.Cold,
		Scarce:   c.Scarce,
		HoldMs:   uint32(hold.Milliseconds()),
	}}}
}

// observe takes in what an exchange of this host showed.
func (o *ownership) observe(now time.Time, endpoint string, r report.Report) {
	w, listed := o.warmers[endpoint]
	if !listed {
		return
	}
	if !r.Cancelled {
		o.heard[endpoint] = now
	}
	switch {
	case r.Cancelled:
		if r.Latency >= lateAfter {
			w.Failure(now)
		}
	case r.Err != nil:
		w.ConnectionReset(now)
		w.Failure(now)
	default:
		w.Success(now, r.Incarnation, now.Add(-r.Latency), 1)
		if r.Loaded {
			w.Observe(now, endpointreport.Report{Incarnation: r.Incarnation, Cold: r.Cold, Leaving: r.Leaving})
		}
	}
}

// see takes in what another host saw of an endpoint.
func (o *ownership) see(now time.Time, s *wire.Sighting) {
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

// probed takes in what an endpoint's health says, which proves no warmth.
func (o *ownership) probed(now time.Time, endpoint string, r report.Report) {
	w, listed := o.warmers[endpoint]
	if !listed {
		return
	}
	o.heard[endpoint] = now
	if r.Err != nil {
		w.ConnectionReset(now)
		w.Failure(now)
		return
	}
	if r.Loaded {
		w.Observe(now, endpointreport.Report{Incarnation: r.Incarnation, Cold: r.Cold, Leaving: r.Leaving})
	}
}

// unheard returns the endpoints that have given no sign for the given time.
func (o *ownership) unheard(now time.Time, since time.Duration) []host.Host {
	var hosts []host.Host
	for _, h := range o.hosts {
		if now.Sub(o.heard[h.ID]) >= since {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// completed takes in how many requests of a peer a warm endpoint has answered.
func (o *ownership) completed(now time.Time, endpoint string, count int) {
	w, listed := o.warmers[endpoint]
	if !listed || count == 0 {
		return
	}
	o.heard[endpoint] = now
	if !w.Cold(now) {
		w.Success(now, "", now, count)
	}
}

func (o *ownership) assumeWarm(endpoint, incarnation string) {
	for _, h := range o.hosts {
		if h.ID == endpoint {
			o.warmers[endpoint].AssumeWarm(incarnation, max(h.Slots, 1))
		}
	}
}

func (o *ownership) setEndpoints(now time.Time, hosts []host.Host, zoneOut func(string) bool) {
	o.hosts = hosts
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
	maps.DeleteFunc(o.heard, func(id string, _ time.Time) bool { return listed[id] == nil })
}
