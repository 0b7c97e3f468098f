package arbiter_test

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/lender"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/arbiter"
)

const (
	coldDeadline = time.Second
	// coldCreditLifetime is how long after its grant a cold credit may be in use.
	coldCreditLifetime = lender.ColdValidity + coldDeadline
	// coldLeaseDuration is how long the lease allows its holder to grant cold credits.
	coldLeaseDuration = 250 * time.Millisecond
	// answersToWarm is how many answers a restarted endpoint needs to become warm.
	answersToWarm = 3
	slots         = 2
	// linkDelay is the maximum delivery time of a frame; a slower link counts as broken.
	linkDelay = 100 * time.Millisecond
	// restartDowntime is how long a restarting endpoint accepts no connections.
	restartDowntime = 150 * time.Millisecond
	timeSlice       = 50 * time.Millisecond
)

var errReset = errors.New("connection reset")

// simulation connects several arbiters of one group by links that keep the order of frames, under one clock.
type simulation struct {
	now       time.Time
	hosts     []string
	arbiters  map[string]*arbiter.Arbiter
	endpoints map[string]*endpoint
	links     map[[2]string][]sentFrame
	isCut     map[[2]string]bool
	running   []request
	waiting   map[uint64]string
	lastID    uint64
	// leaseHolder is the host with the lease on cold credits; credits granted under it may be used until
	// leaseUsedUntil.
	leaseHolder    string
	leaseUsedUntil time.Time
	expired        int
}

// sentFrame is a frame in transit.
type sentFrame struct {
	frame  *wire.Frame
	sentAt time.Time
}

type endpoint struct {
	starts  int
	answers int
	// upAt is when the endpoint accepts connections again.
	upAt time.Time
}

func (e *endpoint) isCold() bool { return e.answers < answersToWarm }

func (e *endpoint) answerRequest() report.Report {
	e.answers++
	return report.Report{Status: 200, HasLoad: true, Incarnation: time.Duration(e.starts).String(), Cold: e.isCold()}
}

// request is a request that an endpoint is working on.
type request struct {
	id       uint64
	host     string
	endpoint string
	cold     bool
	endsAt   time.Time
}

func newSimulation(hosts, endpointIDs []string) *simulation {
	w := &simulation{
		now: startTime, hosts: hosts,
		arbiters: map[string]*arbiter.Arbiter{}, endpoints: map[string]*endpoint{},
		links: map[[2]string][]sentFrame{}, isCut: map[[2]string]bool{}, waiting: map[uint64]string{},
	}
	for _, id := range endpointIDs {
		w.endpoints[id] = &endpoint{}
	}
	for _, id := range hosts {
		w.startHost(id)
	}
	return w
}

func (w *simulation) startHost(id string) {
	a := arbiter.New(id, group.Group{Service: "fabric_stock", Region: "oberbayern"})
	w.arbiters[id] = a
	listed := make([]host.Host, 0, len(w.endpoints))
	for endpointID := range w.endpoints {
		listed = append(listed, host.Host{ID: endpointID, Slots: slots, AvailabilityZone: "rosenheim"})
	}
	slices.SortFunc(listed, func(a, b host.Host) int { return int(a.ID[0]) - int(b.ID[0]) })
	w.performEffect(id, a.SetEndpoints(w.now, listed, noZonesOut))
}

func (w *simulation) performEffect(id string, e effect.Effect) {
	for _, f := range e.Frames {
		if link := [2]string{id, f.To}; !w.isCut[link] && w.arbiters[f.To] != nil {
			w.links[link] = append(w.links[link], sentFrame{f.Frame, w.now})
		}
	}
	for _, b := range e.Bound {
		if _, waits := w.waiting[b.ID]; !waits || (!b.Until.IsZero() && !w.now.Before(b.Until)) {
			w.performEffect(id, w.arbiters[id].Finish(w.now, b.Endpoint, b.Cold, report.Report{Cancelled: true}))
			continue
		}
		delete(w.waiting, b.ID)
		if w.now.Before(w.endpoints[b.Endpoint].upAt) {
			w.performEffect(id, w.arbiters[id].Finish(w.now, b.Endpoint, b.Cold, report.Report{Err: errReset}))
			continue
		}
		w.running = append(w.running, request{b.ID, id, b.Endpoint, b.Cold, w.now.Add(coldDeadline)})
	}
	for _, request := range e.Expired {
		delete(w.waiting, request)
		w.expired++
	}
}

// advanceClock moves the clock forward; requests end by their deadlines, and frames arrive within linkDelay.
func (w *simulation) advanceClock(d time.Duration) {
	for ; d > 0; d -= timeSlice {
		w.now = w.now.Add(min(d, timeSlice))
		for i := len(w.running) - 1; i >= 0; i-- {
			if i < len(w.running) && !w.now.Before(w.running[i].endsAt) {
				w.finishRequest(i)
			}
		}
		w.deliverSentBy(w.now.Add(-linkDelay))
	}
}

// deliverSentBy delivers the frames sent up to the given time, in a deterministic order.
func (w *simulation) deliverSentBy(sentBy time.Time) {
	for delivered := true; delivered; {
		delivered = false
		for _, from := range w.hosts {
			for _, to := range w.hosts {
				link := [2]string{from, to}
				for len(w.links[link]) > 0 && !w.links[link][0].sentAt.After(sentBy) {
					delivered = true
					w.deliverNextFrame(link)
				}
			}
		}
	}
}

func (w *simulation) submitRequest(id string) {
	w.lastID++
	w.waiting[w.lastID] = id
	w.performEffect(id, w.arbiters[id].Bind(w.now, w.lastID, requirement.Requirement{
		Deadline: w.now.Add(400 * time.Millisecond), Urgency: requirement.Normal,
	}))
}

func (w *simulation) finishRequest(i int) {
	r := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	if a := w.arbiters[r.host]; a != nil {
		w.performEffect(r.host, a.Finish(w.now, r.endpoint, r.cold, w.endpoints[r.endpoint].answerRequest()))
	}
}

// restartEndpoint breaks every connection to the endpoint, which all hosts notice, and makes it cold; the endpoint is
// down for the given time.
func (w *simulation) restartEndpoint(endpointID string, downtime time.Duration) {
	e := w.endpoints[endpointID]
	e.starts++
	e.answers = 0
	e.upAt = w.now.Add(downtime)
	previous := w.running
	w.running = nil
	for _, r := range previous {
		if r.endpoint != endpointID {
			w.running = append(w.running, r)
		}
	}
	for _, id := range w.hosts {
		if a := w.arbiters[id]; a != nil {
			w.performEffect(id, a.ConnectionClosed(w.now, endpointID))
		}
	}
	for _, r := range previous {
		if a := w.arbiters[r.host]; a != nil && r.endpoint == endpointID {
			w.performEffect(r.host, a.Finish(w.now, r.endpoint, r.cold, report.Report{Err: errReset}))
		}
	}
}

// tickHost does what the coordinator does for a group at each tick.
func (w *simulation) tickHost(id string) {
	a := w.arbiters[id]
	if a == nil {
		return
	}
	if a.IsOwner() {
		w.performEffect(id, a.AllowCold(w.now, w.acquireColdLease(id, a.NeedsCold(w.now))))
	}
	w.performEffect(id, a.Tick(w.now))
}

// acquireColdLease simulates the lease: a new holder gets it only after the requests of the previous holder have ended.
func (w *simulation) acquireColdLease(id string, needed bool) time.Time {
	if !needed || (w.leaseHolder != id && w.now.Before(w.leaseUsedUntil.Add(coldDeadline))) {
		return time.Time{}
	}
	w.leaseHolder = id
	until := w.now.Add(coldLeaseDuration)
	w.leaseUsedUntil = until.Add(lender.ColdValidity)
	return until
}

func (w *simulation) setOwner(id, owner string) {
	if a := w.arbiters[id]; a != nil {
		w.performEffect(id, a.SetOwner(w.now, owner, alwaysConnected))
	}
}

func (w *simulation) deliverNextFrame(link [2]string) {
	frames := w.links[link]
	if len(frames) == 0 {
		return
	}
	w.links[link] = frames[1:]
	if a := w.arbiters[link[1]]; a != nil {
		w.performEffect(link[1], a.Receive(w.now, link[0], frames[0].frame))
	}
}

// deliverAllFrames delivers all frames in transit.
func (w *simulation) deliverAllFrames() {
	w.deliverSentBy(w.now)
}

// setLinkCut cuts a link and drops the frames in transit on it, or restores the link.
func (w *simulation) setLinkCut(a, b string, cut bool) {
	if w.isCut[[2]string{a, b}] == cut {
		return
	}
	for _, link := range [][2]string{{a, b}, {b, a}} {
		w.isCut[link] = cut
		w.links[link] = nil
		self, peer := w.arbiters[link[0]], link[1]
		switch {
		case self == nil:
		case cut:
			w.performEffect(link[0], self.PeerDisconnected(w.now, peer, w.now.Add(coldCreditLifetime)))
		case self.Owner() == peer:
			w.performEffect(link[0], self.ResetLink(w.now, alwaysConnected))
		}
	}
}

// stopHost removes a host; its requests continue at their endpoints.
func (w *simulation) stopHost(id string) {
	for _, other := range w.hosts {
		if other != id {
			w.setLinkCut(id, other, true)
		}
	}
	delete(w.arbiters, id)
}

func (w *simulation) inFlight(endpointID string) int {
	count := 0
	for _, r := range w.running {
		if r.endpoint == endpointID {
			count++
		}
	}
	return count
}
