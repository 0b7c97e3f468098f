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
	"poplarhook.example/poplarhook/models/wish"
	"poplarhook.example/poplarhook/services/arbiter"
)

const (
	coldDeadline = time.Second
	// coldWork is how long after its grant a cold credit may matter.
	coldWork = lender.ColdValidity + coldDeadline
	// rightFor is how far the right to grant cold credits reaches.
	rightFor = 250 * time.Millisecond
	// answersToWarm is how many answers a restarted endpoint takes to be warm.
	answersToWarm = 3
	slots         = 2
	// linkDelay is the longest that a frame is under way; a link that is slower breaks.
	linkDelay = 100 * time.Millisecond
	// downFor is how long an endpoint that restarts accepts no connections.
	downFor = 150 * time.Millisecond
	slice   = 50 * time.Millisecond
)

var errReset = errors.New("connection reset")

// world joins several arbiters of one group by links that keep order, under one clock.
type world struct {
	now       time.Time
	hosts     []string
	arbiters  map[string]*arbiter.Arbiter
	endpoints map[string]*endpoint
	links     map[[2]string][]letter
	cut       map[[2]string]bool
	running   []request
	waiting   map[uint64]string
	lastID    uint64
	// holder has the lease on cold work, which may have been used until usedUntil.
	holder    string
	usedUntil time.Time
	expired   int
}

// letter is a frame under way.
type letter struct {
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

func (e *endpoint) answer() report.Report {
	e.answers++
	return report.Report{Status: 200, Loaded: true, Incarnation: time.Duration(e.starts).String(), Cold: e.isCold()}
}

// request is one that an endpoint is working on.
type request struct {
	id       uint64
	host     string
	endpoint string
	cold     bool
	ends     time.Time
}

func newWorld(hosts, endpointIDs []string) *world {
	w := &world{
		now: start, hosts: hosts,
		arbiters: map[string]*arbiter.Arbiter{}, endpoints: map[string]*endpoint{},
		links: map[[2]string][]letter{}, cut: map[[2]string]bool{}, waiting: map[uint64]string{},
	}
	for _, id := range endpointIDs {
		w.endpoints[id] = &endpoint{}
	}
	for _, id := range hosts {
		w.start(id)
	}
	return w
}

func (w *world) start(id string) {
	a := arbiter.New(id, group.Group{Service: "fabric_stock", Region: "oberbayern"})
	w.arbiters[id] = a
	listed := make([]host.Host, 0, len(w.endpoints))
	for endpointID := range w.endpoints {
		listed = append(listed, host.Host{ID: endpointID, Slots: slots, AvailabilityZone: "rosenheim"})
	}
	slices.SortFunc(listed, func(a, b host.Host) int { return int(a.ID[0]) - int(b.ID[0]) })
	w.perform(id, a.SetEndpoints(w.now, listed, noZoneOut))
}

func (w *world) perform(id string, e effect.Effect) {
	for _, f := range e.Frames {
		if link := [2]string{id, f.To}; !w.cut[link] && w.arbiters[f.To] != nil {
			w.links[link] = append(w.links[link], letter{f.Frame, w.now})
		}
	}
	for _, b := range e.Bound {
		if _, waits := w.waiting[b.ID]; !waits || (!b.Until.IsZero() && !w.now.Before(b.Until)) {
			w.perform(id, w.arbiters[id].Finish(w.now, b.Endpoint, b.Cold, report.Report{Cancelled: true}))
			continue
		}
		delete(w.waiting, b.ID)
		if w.now.Before(w.endpoints[b.Endpoint].upAt) {
			w.perform(id, w.arbiters[id].Finish(w.now, b.Endpoint, b.Cold, report.Report{Err: errReset}))
			continue
		}
		w.running = append(w.running, request{b.ID, id, b.Endpoint, b.Cold, w.now.Add(coldDeadline)})
	}
	for _, request := range e.Expired {
		delete(w.waiting, request)
		w.expired++
	}
}

// pass lets time go by; every request ends within its deadline, and every frame arrives.
func (w *world) pass(d time.Duration) {
	for ; d > 0; d -= slice {
		w.now = w.now.Add(min(d, slice))
		for i := len(w.running) - 1; i >= 0; i-- {
			if i < len(w.running) && !w.now.Before(w.running[i].ends) {
				w.finish(i)
			}
		}
		w.deliverSince(w.now.Add(-linkDelay))
	}
}

// deliverSince delivers what was sent until the given time, in an order that depends on nothing else.
func (w *world) deliverSince(sentBy time.Time) {
	for moved := true; moved; {
		moved = false
		for _, from := range w.hosts {
			for _, to := range w.hosts {
				link := [2]string{from, to}
				for len(w.links[link]) > 0 && !w.links[link][0].sentAt.After(sentBy) {
					moved = true
					w.deliver(link)
				}
			}
		}
	}
}

func (w *world) ask(id string) {
	w.lastID++
	w.waiting[w.lastID] = id
	w.perform(id, w.arbiters[id].Ask(w.now, w.lastID, wish.Wish{Until: w.now.Add(400 * time.Millisecond), Urgency: wish.Normal}))
}

func (w *world) finish(i int) {
	r := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	if a := w.arbiters[r.host]; a != nil {
		w.perform(r.host, a.Finish(w.now, r.endpoint, r.cold, w.endpoints[r.endpoint].answer()))
	}
}

// restart breaks every connection to the endpoint, which all hosts see, and makes it cold; it is down for the given time.
func (w *world) restart(endpointID string, down time.Duration) {
	e := w.endpoints[endpointID]
	e.starts++
	e.answers = 0
	e.upAt = w.now.Add(down)
	broken := w.running
	w.running = nil
	for _, r := range broken {
		if r.endpoint != endpointID {
			w.running = append(w.running, r)
		}
	}
	for _, id := range w.hosts {
		if a := w.arbiters[id]; a != nil {
			w.perform(id, a.Lost(w.now, endpointID))
		}
	}
	for _, r := range broken {
		if a := w.arbiters[r.host]; a != nil && r.endpoint == endpointID {
			w.perform(r.host, a.Finish(w.now, r.endpoint, r.cold, report.Report{Err: errReset}))
		}
	}
}

// tick does what the coordinator does for a group at each tick.
func (w *world) tick(id string) {
	a := w.arbiters[id]
	if a == nil {
		return
	}
	if a.IsOwner() {
		w.perform(id, a.AllowCold(w.now, w.right(id, a.NeedsCold(w.now))))
	}
	w.perform(id, a.Tick(w.now))
}

// right stands in for the lease: a new holder waits until the work under the old one is over.
func (w *world) right(id string, needed bool) time.Time {
	if !needed || (w.holder != id && w.now.Before(w.usedUntil.Add(coldDeadline))) {
		return time.Time{}
	}
	w.holder = id
	until := w.now.Add(rightFor)
	w.usedUntil = until.Add(lender.ColdValidity)
	return until
}

func (w *world) setOwner(id, owner string) {
	if a := w.arbiters[id]; a != nil {
		w.perform(id, a.SetOwner(w.now, owner, proved))
	}
}

func (w *world) deliver(link [2]string) {
	frames := w.links[link]
	if len(frames) == 0 {
		return
	}
	w.links[link] = frames[1:]
	if a := w.arbiters[link[1]]; a != nil {
		w.perform(link[1], a.Receive(w.now, link[0], frames[0].frame))
	}
}

// settle delivers all that is under way.
func (w *world) settle() {
	w.deliverSince(w.now)
}

// setCut breaks a link with what is on it, or joins it anew.
func (w *world) setCut(a, b string, cut bool) {
	if w.cut[[2]string{a, b}] == cut {
		return
	}
	for _, link := range [][2]string{{a, b}, {b, a}} {
		w.cut[link] = cut
		w.links[link] = nil
		self, peer := w.arbiters[link[0]], link[1]
		switch {
		case self == nil:
		case cut:
			w.perform(link[0], self.PeerGone(w.now, peer, w.now.Add(coldWork)))
		case self.Owner() == peer:
			w.perform(link[0], self.Relink(w.now, proved))
		}
	}
}

// kill ends a host; its requests run on at their endpoints.
func (w *world) kill(id string) {
	for _, other := range w.hosts {
		if other != id {
			w.setCut(id, other, true)
		}
	}
	delete(w.arbiters, id)
}

func (w *world) inFlight(endpointID string) int {
	count := 0
	for _, r := range w.running {
		if r.endpoint == endpointID {
			count++
		}
	}
	return count
}
