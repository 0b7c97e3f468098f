package borrower_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/borrower"
	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/lender"
)

const (
	maxServiceTime = 30 * time.Millisecond
	maxDelay       = 5 * time.Millisecond
	warmLimit      = 3
	warmHardLimit  = 6
	orphanDuration = 500 * time.Millisecond
)

// message is one message in transit between the owner and a borrower.
type message struct {
	arrivesAt    time.Time
	host         *host
	deliver      func()
	isRepeatable bool
}

// runningRequest is one request at an endpoint.
type runningRequest struct {
	endsAt   time.Time
	host     *host
	endpoint string
	cold     bool
}

type host struct {
	name        string
	borrower    *borrower.Borrower
	lastArrival time.Time
	isRemoved   bool
}

// simulation connects one lender and several borrowers by links that delay and repeat messages, and counts the requests
// in flight.
type simulation struct {
	t              *rapid.T
	now            time.Time
	lender         *lender.Lender
	hosts          []*host
	messages       []message
	running        []runningRequest
	inFlight       map[string]int
	openRequests   map[uint64]*host
	capacities     []capacity.Capacity
	lastID         uint64
	lastHostNumber int
	// grantsFrom is the time from which a new owner may grant credits.
	grantsFrom time.Time
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1000, 0), lender: lender.New(),
		inFlight: make(map[string]int), openRequests: make(map[uint64]*host),
		capacities: []capacity.Capacity{
			{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
			{Endpoint: "turning", Limit: warmLimit, Open: true},
			{Endpoint: "warm", Limit: warmLimit, HardLimit: warmHardLimit, Open: true},
		},
	}
	w.lender.AllowCold(w.now.Add(time.Second))
	w.lender.SetCapacities(w.now, w.capacities)
	for range 3 {
		w.addHost()
	}
	return w
}

func (w *simulation) addHost() {
	w.lastHostNumber++
	name := fmt.Sprintf("b%d", w.lastHostNumber)
	h := &host{name: name, borrower: borrower.New(name)}
	h.borrower.SetCapacities(w.now, w.capacities)
	w.hosts = append(w.hosts, h)
}

// send delays a message by a random time and keeps the messages of one host in order, as a connection does.
func (w *simulation) send(h *host, isRepeatable bool, deliver func()) {
	delay := time.Duration(rapid.Int64Range(0, int64(maxDelay)).Draw(w.t, "delay"))
	at := w.now.Add(delay)
	if at.Before(h.lastArrival) {
		at = h.lastArrival
	}
	h.lastArrival = at
	w.messages = append(w.messages, message{arrivesAt: at, host: h, deliver: deliver, isRepeatable: isRepeatable})
}

func (w *simulation) sendCredits(credits []credit.Credit) {
	for _, c := range credits {
		for _, h := range w.hosts {
			if h.name == c.Borrower {
				w.send(h, true, func() { w.performAction(h, h.borrower.Accept(w.now, c)) })
			}
		}
	}
}

func (w *simulation) performAction(h *host, a action.Action) {
	for _, id := range a.Expired {
		w.endRequest(id)
	}
	for _, bound := range a.Bound {
		w.endRequest(bound.ID)
		w.startRequest(h, bound.Endpoint, bound.Cold, bound.Until)
	}
	for _, r := range a.Releases {
		w.send(h, false, func() { w.sendCredits(w.lender.Release(w.now, h.name, r.Endpoint, r.Count)) })
	}
	for _, d := range a.Demands {
		w.send(h, true, func() { w.sendCredits(w.lender.Demand(w.now, d)) })
	}
}

func (w *simulation) endRequest(id uint64) {
	if w.openRequests[id] == nil {
		w.t.Fatalf("request %d ended twice", id)
	}
	delete(w.openRequests, id)
}

func (w *simulation) startRequest(h *host, endpoint string, cold bool, until time.Time) {
	at := slices.IndexFunc(w.capacities, func(c capacity.Capacity) bool { return c.Endpoint == endpoint })
	c := w.capacities[at]
	w.inFlight[endpoint]++
	count := w.inFlight[endpoint]
	switch {
	case !c.Open || (c.Cold && !cold):
		w.t.Fatalf("request bound to %s, which is closed or cold: %+v", endpoint, c)
	case count > max(warmLimit, c.HardLimit) || (c.Cold && count > c.Limit):
		w.t.Fatalf("%d requests in flight exceed the limit of %+v", count, c)
	case cold && !w.now.Before(until):
		w.t.Fatalf("a cold credit was used after its expiry")
	}
	service := time.Duration(rapid.Int64Range(0, int64(maxServiceTime)).Draw(w.t, "service"))
	w.running = append(w.running, runningRequest{endsAt: w.now.Add(service), host: h, endpoint: endpoint, cold: cold})
}

// advance moves time forward in steps of a millisecond and processes the events of each step.
func (w *simulation) advance(d time.Duration) {
	until := w.now.Add(d)
	for w.now.Before(until) {
		w.now = w.now.Add(time.Millisecond)
		w.finishRequests()
		w.deliverMessages()
		w.tickAll()
	}
}

func (w *simulation) finishRequests() {
	for i := 0; i < len(w.running); {
		r := w.running[i]
		if r.endsAt.After(w.now) {
			i++
			continue
		}
		w.running = slices.Delete(w.running, i, i+1)
		w.inFlight[r.endpoint]--
		if !r.host.isRemoved {
			w.performAction(r.host, r.host.borrower.Finish(w.now, r.endpoint, r.cold))
		}
	}
}

func (w *simulation) deliverMessages() {
	for i := 0; i < len(w.messages); {
		m := w.messages[i]
		if m.arrivesAt.After(w.now) {
			i++
			continue
		}
		w.messages = slices.Delete(w.messages, i, i+1)
		m.deliver()
	}
}

func (w *simulation) tickAll() {
	if w.now.Equal(w.grantsFrom) {
		w.sendCredits(w.lender.SetCapacities(w.now, w.capacities))
	}
	w.sendCredits(w.lender.Tick(w.now))
	for _, name := range w.lender.Recalls(w.now) {
		for _, h := range w.hosts {
			if h.name == name {
				w.send(h, true, func() { w.performAction(h, h.borrower.Recall(w.now)) })
			}
		}
	}
	for _, h := range w.hosts {
		w.performAction(h, h.borrower.Tick(w.now))
	}
}

func (w *simulation) submit(h *host, wait time.Duration, urgency int, excluded string) {
	w.lastID++
	w.openRequests[w.lastID] = h
	w.performAction(h, h.borrower.Submit(w.now, w.lastID, w.now.Add(wait), urgency, excluded))
}

func (w *simulation) cancel(h *host, id uint64) {
	before := h.borrower.Waiting()
	w.performAction(h, h.borrower.Cancel(w.now, id))
	if h.borrower.Waiting() < before {
		w.endRequest(id)
	}
}

func (w *simulation) setCapacity(endpoint string, limit int, cold, open bool) {
	capacities := slices.Clone(w.capacities)
	for i := range capacities {
		if capacities[i].Endpoint == endpoint {
			capacities[i] = capacities[i].WithLimit(limit).WithCold(cold).WithOpen(open)
		}
	}
	w.capacities = capacities
	if !w.now.Before(w.grantsFrom) {
		w.sendCredits(w.lender.SetCapacities(w.now, capacities))
	}
	for _, h := range w.hosts {
		w.performAction(h, h.borrower.SetCapacities(w.now, capacities))
	}
}

func (w *simulation) dropMessages(h *host) {
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.host == h })
}

// replaceHost replaces a host by a new one. The requests of the removed host continue at the endpoints.
func (w *simulation) replaceHost(h *host) {
	h.isRemoved = true
	maps.DeleteFunc(w.openRequests, func(_ uint64, requester *host) bool { return requester == h })
	w.dropMessages(h)
	w.hosts = slices.DeleteFunc(w.hosts, func(other *host) bool { return other == h })
	w.sendCredits(w.lender.DropBorrower(w.now, h.name, w.now.Add(maxServiceTime)))
	w.addHost()
}

// replaceOwner starts a new owner, which grants nothing until all requests in flight are reported or have ended.
func (w *simulation) replaceOwner() {
	w.lender = lender.New()
	w.messages = nil
	w.grantsFrom = w.now.Add(maxServiceTime + maxDelay)
	w.lender.AllowCold(w.now.Add(time.Second))
	for _, h := range w.hosts {
		w.startConnection(h)
	}
}

// reconnect breaks the connection between a borrower and the owner and opens a new one at once.
func (w *simulation) reconnect(h *host) {
	w.dropMessages(h)
	w.sendCredits(w.lender.DropBorrower(w.now, h.name, w.now.Add(orphanDuration)))
	w.startConnection(h)
}

// startConnection reports the host's requests in flight to the owner before any other message of the new connection,
// and resets the host's borrower.
func (w *simulation) startConnection(h *host) {
	for _, held := range h.borrower.InFlight() {
		w.send(h, false, func() { w.sendCredits(w.lender.SetHolding(w.now, h.name, held.Endpoint, held.Count)) })
	}
	w.performAction(h, h.borrower.Reset(w.now))
}
