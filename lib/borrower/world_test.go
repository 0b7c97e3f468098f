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
	longestService = 30 * time.Millisecond
	longestDelay   = 5 * time.Millisecond
	warmLimit      = 3
	warmMost       = 6
	lostFor        = 500 * time.Millisecond
)

// frame is one message on the way between the owner and a borrower.
type frame struct {
	at      time.Time
	node    *node
	deliver func()
	repeats bool
}

// flight is one request at an endpoint.
type flight struct {
	endsAt   time.Time
	node     *node
	endpoint string
	cold     bool
}

type node struct {
	name     string
	borrower *borrower.Borrower
	lastAt   time.Time
	dead     bool
}

// world joins one lender and several borrowers by links that delay and repeat frames, and counts what is in flight.
type world struct {
	t        *rapid.T
	now      time.Time
	lender   *lender.Lender
	nodes    []*node
	frames   []frame
	flights  []flight
	inFlight map[string]int
	open     map[uint64]*node
	caps     []capacity.Capacity
	ids      uint64
	names    int
	// quietUntil is when a new owner may grant.
	quietUntil time.Time
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), lender: lender.New(),
		inFlight: make(map[string]int), open: make(map[uint64]*node),
		caps: []capacity.Capacity{
			{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
			{Endpoint: "turning", Limit: warmLimit, Open: true},
			{Endpoint: "warm", Limit: warmLimit, Most: warmMost, Open: true},
		},
	}
	w.lender.AllowCold(w.now.Add(time.Second))
	w.lender.SetCapacities(w.now, w.caps)
	for range 3 {
		w.addNode()
	}
	return w
}

func (w *world) addNode() {
	w.names++
	name := fmt.Sprintf("b%d", w.names)
	n := &node{name: name, borrower: borrower.New(name)}
	n.borrower.SetCapacities(w.now, w.caps)
	w.nodes = append(w.nodes, n)
}

// send keeps the frames of one node in order, as a connection does.
func (w *world) send(n *node, repeats bool, deliver func()) {
	delay := time.Duration(rapid.Int64Range(0, int64(longestDelay)).Draw(w.t, "delay"))
	at := w.now.Add(delay)
	if at.Before(n.lastAt) {
		at = n.lastAt
	}
	n.lastAt = at
	w.frames = append(w.frames, frame{at: at, node: n, deliver: deliver, repeats: repeats})
}

func (w *world) grant(credits []credit.Credit) {
	for _, c := range credits {
		for _, n := range w.nodes {
			if n.name == c.Borrower {
				w.send(n, true, func() { w.do(n, n.borrower.Accept(w.now, c)) })
			}
		}
	}
}

func (w *world) do(n *node, a action.Action) {
	for _, id := range a.Expired {
		w.end(id)
	}
	for _, bound := range a.Bound {
		w.end(bound.ID)
		w.start(n, bound.Endpoint, bound.Cold, bound.Until)
	}
	for _, r := range a.Releases {
		w.send(n, false, func() { w.grant(w.lender.Release(w.now, n.name, r.Endpoint, r.Count)) })
	}
	for _, d := range a.Demands {
		w.send(n, true, func() { w.grant(w.lender.Demand(w.now, d)) })
	}
}

func (w *world) end(id uint64) {
	if w.open[id] == nil {
		w.t.Fatalf("request %d ended twice", id)
	}
	delete(w.open, id)
}

func (w *world) start(n *node, endpoint string, cold bool, until time.Time) {
	at := slices.IndexFunc(w.caps, func(c capacity.Capacity) bool { return c.Endpoint == endpoint })
	c := w.caps[at]
	w.inFlight[endpoint]++
	count := w.inFlight[endpoint]
	switch {
	case !c.Open || (c.Cold && !cold):
		w.t.Fatalf("bound to %s, which is %+v", endpoint, c)
	case count > max(warmLimit, c.Most) || (c.Cold && count > c.Limit):
		w.t.Fatalf("%d in flight at %+v", count, c)
	case cold && !w.now.Before(until):
		w.t.Fatalf("a cold credit was used after its end")
	}
	service := time.Duration(rapid.Int64Range(0, int64(longestService)).Draw(w.t, "service"))
	w.flights = append(w.flights, flight{endsAt: w.now.Add(service), node: n, endpoint: endpoint, cold: cold})
}

// advance passes time, in the order in which things happen.
func (w *world) advance(d time.Duration) {
	until := w.now.Add(d)
	for w.now.Before(until) {
		w.now = w.now.Add(time.Millisecond)
		w.finishFlights()
		w.deliverFrames()
		w.tick()
	}
}

func (w *world) finishFlights() {
	for i := 0; i < len(w.flights); {
		f := w.flights[i]
		if f.endsAt.After(w.now) {
			i++
			continue
		}
		w.flights = slices.Delete(w.flights, i, i+1)
		w.inFlight[f.endpoint]--
		if !f.node.dead {
			w.do(f.node, f.node.borrower.Finish(w.now, f.endpoint, f.cold))
		}
	}
}

func (w *world) deliverFrames() {
	for i := 0; i < len(w.frames); {
		f := w.frames[i]
		if f.at.After(w.now) {
			i++
			continue
		}
		w.frames = slices.Delete(w.frames, i, i+1)
		f.deliver()
	}
}

func (w *world) tick() {
	if w.now.Equal(w.quietUntil) {
		w.grant(w.lender.SetCapacities(w.now, w.caps))
	}
	w.grant(w.lender.Tick(w.now))
	for _, name := range w.lender.Recalls(w.now) {
		for _, n := range w.nodes {
			if n.name == name {
				w.send(n, true, func() { w.do(n, n.borrower.Recall(w.now)) })
			}
		}
	}
	for _, n := range w.nodes {
		w.do(n, n.borrower.Tick(w.now))
	}
}

func (w *world) ask(n *node, wait time.Duration, urgency int, excluded string) {
	w.ids++
	w.open[w.ids] = n
	w.do(n, n.borrower.Ask(w.now, w.ids, w.now.Add(wait), urgency, excluded))
}

func (w *world) cancel(n *node, id uint64) {
	before := n.borrower.Waiting()
	w.do(n, n.borrower.Cancel(w.now, id))
	if n.borrower.Waiting() < before {
		w.end(id)
	}
}

func (w *world) setCapacity(endpoint string, limit int, cold, open bool) {
	caps := slices.Clone(w.caps)
	for i := range caps {
		if caps[i].Endpoint == endpoint {
			caps[i] = caps[i].WithLimit(limit).WithCold(cold).WithOpen(open)
		}
	}
	w.caps = caps
	if !w.now.Before(w.quietUntil) {
		w.grant(w.lender.SetCapacities(w.now, caps))
	}
	for _, n := range w.nodes {
		w.do(n, n.borrower.SetCapacities(w.now, caps))
	}
}

func (w *world) dropFrames(n *node) {
	w.frames = slices.DeleteFunc(w.frames, func(f frame) bool { return f.node == n })
}

// kill ends a borrower; its requests go on at the endpoints until they are done.
func (w *world) kill(n *node) {
	n.dead = true
	maps.DeleteFunc(w.open, func(_ uint64, asker *node) bool { return asker == n })
	w.dropFrames(n)
	w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other == n })
	w.grant(w.lender.Forget(w.now, n.name, w.now.Add(longestService)))
	w.addNode()
}

// replaceOwner starts a new owner, which grants nothing until all in flight is known or over.
func (w *world) replaceOwner() {
	w.lender = lender.New()
	w.frames = nil
	w.quietUntil = w.now.Add(longestService + longestDelay)
	w.lender.AllowCold(w.now.Add(time.Second))
	for _, n := range w.nodes {
		w.join(n)
	}
}

// cut breaks the connection between a borrower and the owner; a new one is open at once.
func (w *world) cut(n *node) {
	w.dropFrames(n)
	w.grant(w.lender.Forget(w.now, n.name, w.now.Add(lostFor)))
	w.join(n)
}

// join tells the owner what is in flight, before anything else.
func (w *world) join(n *node) {
	for _, h := range n.borrower.InFlight() {
		w.send(n, false, func() { w.grant(w.lender.Hold(w.now, n.name, h.Endpoint, h.Count)) })
	}
	w.do(n, n.borrower.Reset(w.now))
}
