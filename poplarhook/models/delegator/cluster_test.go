package delegator_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/delegator"
	"poplarhook.example/poplarhook/models/granter"
	"poplarhook.example/poplarhook/models/token"
)

const (
	usualTotal = 840.0
	usualLoad  = 1 / 1.6
	window     = 5 * time.Second
	overage    = 0.1
	slack      = 20.0
	tokenWait  = delegator.TokenWait
)

// event is something that happens at a time; events at the same time happen in the order of their creation.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cluster is a set of hosts with delegators, connected by streams whose messages take time. Messages between hosts that
// are cut off from each other wait until the cut ends, as TCP delivers them then.
type cluster struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Duration
	seq        int
	events     events
	hosts      []*simHost
	byID       map[string]*simHost
	workspaces []workspace.Workspace
	// limits has the highest rate and burst of each workspace that may still be in force.
	limits map[string]workspace.Workspace
	// isCut reports whether two hosts cannot reach each other.
	isCut func(a, b *simHost) bool
	held  []event
	// isReturning makes refused requests return once at the time that they were told.
	isReturning bool

	results            map[string]*result
	messages, bytes    int
	crossBytes         int
	messagesByHost     map[string]int
	countFrom, countTo time.Duration
}

// result counts the requests of a workspace.
type result struct {
	ideal                      granterBucket
	runs                       []time.Duration
	arrived, ideals, wrong     int
	ran, overQuota, unanswered int
	longestWait                time.Duration
	waits                      time.Duration
	// returned is the number of requests that returned, and servedAgain how many of them ran.
	returned, servedAgain int
}

// granterBucket is the ideal bucket of a workspace on a single host.
type granterBucket struct {
	tokens, rate, burst float64
	at                  time.Duration
}

func (b *granterBucket) take(now time.Duration) bool {
	b.tokens = min(b.tokens+b.rate*(now-b.at).Seconds(), max(b.burst, 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type simHost struct {
	c      *cluster
	peer   delegator.Peer
	weight float64
	dead   bool
	// unlisted is true if the host is missing in the list of hosts.
	unlisted bool
	// frozen is true while the host's process does not run; inbox has what it receives meanwhile.
	frozen   bool
	inbox    []func()
	life     int
	d        *delegator.Delegator
	g        *granter.Granter
	nextTick time.Duration
	streams  map[string]*stream
	serving  map[string]*stream
	waiting  map[*delegator.Ticket]*simRequest
}

type simRequest struct {
	name    string
	arrived time.Duration
	ideal   bool
	// again is true if the request has returned.
	again bool
}

// stream is a connection from a client to a server.
type stream struct {
	client, server         *simHost
	clientLife, serverLife int
	closed                 bool
	// last is the time of the last message in each direction, which keeps them in order.
	last [2]time.Duration
}

func newCluster(t *testing.T, seed uint64, workspaces []workspace.Workspace) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), byID: make(map[string]*simHost), workspaces: workspaces,
		limits: make(map[string]workspace.Workspace), isCut: func(_, _ *simHost) bool { return false },
		results: make(map[string]*result), messagesByHost: make(map[string]int), countTo: math.MaxInt64,
		// The machines have been running for some time.
		now: time.Hour,
	}
	for _, w := range workspaces {
		c.results[w.Name] = &result{ideal: granterBucket{tokens: w.Burst, rate: w.RatePerSecond, burst: w.Burst, at: c.now}}
		c.limits[w.Name] = w
	}
	for i := range simHosts {
		c.addHost(i)
	}
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

func (c *cluster) addHost(i int) *simHost {
	h := &simHost{c: c, weight: 0.3 + c.random.Float64()*1.7}
	h.peer = delegator.Peer{ID: fmt.Sprintf("entry-%03d", i), Address: "a", Region: fmt.Sprintf("region-%d", i%2), Capacity: float64(i % 3)}
	c.hosts = append(c.hosts, h)
	c.byID[h.peer.ID] = h
	return h
}

func (c *cluster) peers() []delegator.Peer {
	var peers []delegator.Peer
	for _, h := range c.hosts {
		if !h.unlisted {
			peers = append(peers, h.peer)
		}
	}
	return peers
}

func (c *cluster) at(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, do: do})
}

func (c *cluster) after(d time.Duration, do func()) {
	c.at(c.now+d, do)
}

func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// start starts a host that knows nothing of a life before.
func (h *simHost) start() {
	h.dead = false
	h.life++
	h.g = granter.New(granter.Limits{Window: window, Overage: overage, Slack: slack})
	h.d = delegator.New(h.c.now, h.peer, h.g)
	h.streams, h.serving = make(map[string]*stream), make(map[string]*stream)
	h.waiting = make(map[*delegator.Ticket]*simRequest)
	h.learn()
	life := h.life
	h.c.after(time.Duration(h.c.random.IntN(50))*time.Millisecond, func() { h.tickIn(life) })
}

func (h *simHost) learn() {
	h.d.SetPeers(h.c.peers())
	h.d.SetWorkspaces(h.c.now, h.c.workspaces)
}

// kill ends a host; its streams are reset, or fall silent.
func (h *simHost) kill(silently bool) {
	h.dead = true
	h.life++
	for _, r := range h.waiting {
		h.c.results[r.name].arrived--
		if r.ideal {
			h.c.results[r.name].ideals--
		}
	}
	if silently {
		return
	}
	for _, s := range h.serving {
		s.close(h)
	}
	for _, s := range h.streams {
		s.close(h)
	}
}

func (h *simHost) tickIn(life int) {
	if h.dead || h.frozen || h.life != life {
		return
	}
	h.nextTick = 0
	h.tick()
}

// tick carries out the actions of the delegator and settles its decided tickets.
func (h *simHost) tick() {
	actions := h.d.Tick(h.c.now)
	for _, id := range actions.Close {
		if s, open := h.streams[id]; open {
			delete(h.streams, id)
			s.close(h)
		}
	}
	for _, p := range actions.Dial {
		h.connect(h.c.byID[p.ID])
	}
	for _, o := range actions.Send {
		if s, open := h.streams[o.To]; open {
			s.send(h, o.Ask)
		}
	}
	h.settle()
	if h.nextTick == 0 || actions.Next < h.nextTick {
		h.nextTick = actions.Next
		life := h.life
		h.c.at(actions.Next, func() {
			if h.nextTick == actions.Next {
				h.tickIn(life)
			}
		})
	}
}

func (c *cluster) delay(a, b *simHost) time.Duration {
	if a.peer.Region == b.peer.Region {
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// deliver runs do at the receiver after the delay of the link, or when the cut between the hosts ends.
func (c *cluster) deliver(from, to *simHost, at time.Duration, do func()) {
	c.at(at, func() {
		if c.isCut(from, to) {
			c.held = append(c.held, event{at: at, do: func() { c.deliver(from, to, c.now, do) }})
			return
		}
		if to.frozen {
			to.inbox = append(to.inbox, do)
			return
		}
		do()
	})
}

// freeze stops the process of the host for a time. What it receives meanwhile waits.
func (h *simHost) freeze(d time.Duration) {
	h.frozen = true
	h.c.after(d, func() {
		h.frozen = false
		inbox := h.inbox
		h.inbox = nil
		for _, do := range inbox {
			do()
		}
		h.tickIn(h.life)
	})
}

// heal ends the cut and delivers what waited.
func (c *cluster) heal() {
	c.isCut = func(_, _ *simHost) bool { return false }
	held := c.held
	c.held = nil
	for _, e := range held {
		e.do()
	}
}

func (h *simHost) connect(server *simHost) {
	s := &stream{client: h, server: server, clientLife: h.life}
	h.streams[server.peer.ID] = s
	delay := h.c.delay(h, server)
	// The connection takes a round trip, the request half of one, and the first line the other half.
	h.c.deliver(h, server, h.c.now+3*delay, func() {
		if server.dead {
			return
		}
		s.serverLife = server.life
		if before, open := server.serving[h.peer.ID]; open {
			before.close(server)
		}
		if s.closed {
			return
		}
		server.serving[h.peer.ID] = s
		s.send(server, token.Reply{Clock: h.c.now.Milliseconds()})
	})
	h.c.after(3*delay, func() {
		if server.dead && !h.c.isCut(h, server) && h.streams[server.peer.ID] == s {
			h.c.after(delay, func() { s.ended(h) })
		}
	})
}

func (s *stream) send(from *simHost, message any) {
	c := from.c
	line, err := json.Marshal(message)
	if err != nil {
		c.t.Fatal(err)
	}
	to, direction := s.server, 0
	if from == s.server {
		to, direction = s.client, 1
	}
	if c.now >= c.countFrom && c.now < c.countTo {
		c.messages++
		c.bytes += len(line) + 1
		c.messagesByHost[to.peer.ID]++
		if from.peer.Region != to.peer.Region {
			c.crossBytes += len(line) + 1
		}
	}
	at := max(c.now+c.delay(from, to), s.last[direction])
	s.last[direction] = at
	c.deliver(from, to, at, func() { s.receive(to, message) })
}

func (s *stream) receive(to *simHost, message any) {
	switch m := message.(type) {
	case token.Ask:
		if !to.dead && to.life == s.serverLife && to.serving[s.client.peer.ID] == s {
			s.send(to, to.d.Answer(to.c.now, s.client.peer.ID, m))
		}
	case token.Reply:
		if !to.dead && to.life == s.clientLife && to.streams[s.server.peer.ID] == s {
			to.d.Receive(to.c.now, s.server.peer.ID, m)
			to.tick()
		}
	}
}

// close closes the stream on one side; the other side learns it after the delay.
func (s *stream) close(from *simHost) {
	s.closed = true
	other := s.server
	if from == s.server {
		other = s.client
	}
	from.c.deliver(from, other, from.c.now+from.c.delay(from, other), func() { s.ended(other) })
}

func (s *stream) ended(at *simHost) {
	if at == s.server && at.life == s.serverLife && at.serving[s.client.peer.ID] == s {
		delete(at.serving, s.client.peer.ID)
	}
	if at == s.client && at.life == s.clientLife && at.streams[s.server.peer.ID] == s {
		delete(at.streams, s.server.peer.ID)
		at.d.Closed(at.c.now, s.server.peer.ID)
		at.tick()
	}
}

// request lets one request of a workspace arrive at the host.
func (h *simHost) request(name string) {
	h.send(name, false)
}

func (h *simHost) send(name string, again bool) {
	c := h.c
	r := c.results[name]
	ideal := r.ideal.take(c.now)
	r.arrived++
	if ideal {
		r.ideals++
	}
	if again {
		r.returned++
	}
	request := &simRequest{name: name, arrived: c.now, ideal: ideal, again: again}
	wait := h.d.Wait(c.now)
	t := h.d.Acquire(c.now, name)
	h.waiting[t] = request
	h.tick()
	life := h.life
	c.after(wait, func() {
		if h.life == life && h.waiting[t] != nil {
			h.d.Abandon(t)
			h.settle()
		}
	})
}

func (h *simHost) settle() {
	for t, request := range h.waiting {
		select {
		case <-t.Done():
		default:
			continue
		}
		delete(h.waiting, t)
		r := h.c.results[request.name]
		switch t.State() {
		case delegator.Granted:
			r.ran++
			if request.again {
				r.servedAgain++
			}
			r.runs = append(r.runs, h.c.now)
			r.waits += h.c.now - request.arrived
			r.longestWait = max(r.longestWait, h.c.now-request.arrived)
			continue
		case delegator.OverQuota:
			r.overQuota++
			if h.c.isReturning && !request.again {
				h.c.after(t.RetryAfter(), func() { h.send(request.name, true) })
			}
		default:
			r.unanswered++
		}
		if request.ideal {
			r.wrong++
		}
	}
}

// load lets requests of all workspaces arrive at a multiple of their limits until the time. factor gives an additional
// factor of a workspace at a time. Each workspace's requests go to the hosts that spread returns.
func (c *cluster) load(until time.Duration, load float64, factor func(i int, at time.Duration) float64, spread func(i int) []*simHost) {
	for i, w := range c.workspaces {
		rate := w.RatePerSecond
		hosts := spread(i)
		total := 0.0
		for _, h := range hosts {
			total += h.weight
		}
		var next func()
		next = func() {
			f := load * factor(i, c.now)
			c.after(time.Duration(c.random.ExpFloat64()/(rate*max(f, 1e-3))*float64(time.Second)), func() {
				if c.now >= until {
					return
				}
				next()
				at := c.random.Float64() * total
				for _, h := range hosts {
					if at -= h.weight; at < 0 {
						if !h.dead && !h.frozen {
							h.request(w.Name)
						}
						return
					}
				}
			})
		}
		next()
	}
}

// newWorkspaces returns 72 workspaces whose usual loads are proportional to the place to the power of -1.2.
func newWorkspaces() []workspace.Workspace {
	const n = 72
	sum := 0.0
	for k := 1; k <= n; k++ {
		sum += math.Pow(float64(k), -1.2)
	}
	workspaces := make([]workspace.Workspace, 0, n)
	for k := 1; k <= n; k++ {
		rate := usualTotal / usualLoad * math.Pow(float64(k), -1.2) / sum
		rate = math.Round(rate*10) / 10
		workspaces = append(workspaces, workspace.Workspace{Name: fmt.Sprintf("workspace-%02d", k), RatePerSecond: rate, Burst: math.Ceil(max(rate, 3))})
	}
	return workspaces
}

func everywhere(c *cluster) func(int) []*simHost {
	return func(i int) []*simHost {
		if i >= 52 {
			// The callers of small workspaces use one or two hosts.
			return c.hosts[i-52 : i-52+1+i%2]
		}
		return c.hosts
	}
}

func steady(int, time.Duration) float64 { return 1 }

// totals sums the results and checks the limit of every workspace.
type totals struct {
	arrived, ideals, ran, wrong, overQuota, unanswered int
	longestWait, meanWait                              time.Duration
	// excess is the largest number of runs over the limit in any window, negative if there is room.
	excess   float64
	excessOf string
}

func (c *cluster) totals() totals {
	sum := totals{excess: math.Inf(-1)}
	var waits time.Duration
	for _, w := range c.workspaces {
		r := c.results[w.Name]
		sum.arrived += r.arrived
		sum.ideals += r.ideals
		sum.ran += r.ran
		sum.wrong += r.wrong
		sum.overQuota += r.overQuota
		sum.unanswered += r.unanswered
		sum.longestWait = max(sum.longestWait, r.longestWait)
		waits += r.waits
		l := c.limits[w.Name]
		allowed := (l.RatePerSecond*window.Seconds()+l.Burst)*(1+overage) + slack
		first := 0
		for last, at := range r.runs {
			for r.runs[first] <= at-window {
				first++
			}
			if over := float64(last-first+1) - allowed; over > sum.excess {
				sum.excess, sum.excessOf = over, w.Name
			}
		}
	}
	sum.meanWait = waits / time.Duration(max(sum.ran, 1))
	return sum
}

func (c *cluster) reset() {
	for _, r := range c.results {
		*r = result{ideal: r.ideal, runs: r.runs}
	}
	c.countFrom, c.countTo = c.now, math.MaxInt64
	c.messages, c.bytes, c.crossBytes = 0, 0, 0
	c.messagesByHost = make(map[string]int)
}

func (c *cluster) print(what string, took time.Duration) totals {
	s := c.totals()
	most := 0
	for _, n := range c.messagesByHost {
		most = max(most, n)
	}
	c.t.Logf("%-34s arrived %6d ran %6d wrongly refused %.3f %% over quota %5d unanswered %4d wait mean %4.1f max %2d ms, least room in a window %.0f (%s), messages/s %.0f (pool host receives %.0f), kB/s %.1f, across regions %.1f",
		what, s.arrived, s.ran, 100*float64(s.wrong)/float64(max(s.ideals, 1)), s.overQuota, s.unanswered,
		float64(s.meanWait.Microseconds())/1000, s.longestWait.Milliseconds(), -s.excess, s.excessOf,
		float64(c.messages)/took.Seconds(), float64(most)/took.Seconds(), float64(c.bytes)/1000/took.Seconds(), float64(c.crossBytes)/1000/took.Seconds())
	return s
}

// assertAgreement checks that all live hosts use the same pool host and have delegated their shares to it.
func (c *cluster) assertAgreement() {
	c.t.Helper()
	current := ""
	for _, h := range c.hosts {
		if h.dead {
			continue
		}
		if current == "" {
			current = h.d.Current()
		}
		if h.d.Current() != current || !h.d.IsDelegated(c.now) {
			c.t.Errorf("host %s uses pool host %s, delegated %t; another uses %s", h.peer.ID, h.d.Current(), h.d.IsDelegated(c.now), current)
			return
		}
	}
}

// watchShares checks until the time that no share is used by two hosts.
func (c *cluster) watchShares(until time.Duration) {
	c.t.Helper()
	var pools []*simHost
	for _, h := range c.hosts {
		if !h.dead && h.g.Delegations(c.now) > 0 {
			pools = append(pools, h)
		}
	}
	for _, owner := range c.hosts {
		var users []string
		for _, h := range pools {
			if h.g.HasShare(c.now, owner.peer.ID) {
				users = append(users, h.peer.ID)
			}
		}
		if len(users) > 1 {
			c.t.Errorf("the share of %s is used by %v", owner.peer.ID, users)
			return
		}
	}
	if c.now < until {
		c.after(10*time.Millisecond, func() { c.watchShares(until) })
	}
}
