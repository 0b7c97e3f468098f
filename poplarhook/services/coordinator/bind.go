package coordinator

import (
	"context"
	"net/http"
	"slices"
	"time"

	libbinding "poplarhook.example/lib/binding"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/wish"
)

const (
	retryAfter = time.Second
	// farTimes is how much longer the owner of another region may be silent.
	farTimes = 4
	// patienceShare is the part of its time that a request waits for its preferred group.
	patienceShare = 4
)

// Bind waits for an endpoint of the preferred group, and of the next ones when it has none in time.
//
// Its error is a refusal of a request that was not run.
func (c *Coordinator) Bind(ctx context.Context, w wish.Wish) (binding.Binding, error) {
	var refused error
	for i, g := range w.Groups {
		now := c.clock()
		in := c.cellFor(g)
		in.mu.Lock()
		c.notice(now, in)
		if !in.arbiter.HasOpen(now) {
			in.mu.Unlock()
			continue
		}
		r := &request{coordinator: c, group: g, cell: in, wish: w, askedAt: now}
		if i < len(w.Groups)-1 {
			r.wish = w.WithUntil(patience(now, w.Until))
		}
		if endpoint, ok := r.preferAlone(now); ok {
			in.mu.Unlock()
			return binding.Binding{Group: g, Endpoint: endpoint, Alone: true}, nil
		}
		r.ask(now)
		in.mu.Unlock()
		b, err := r.wait(ctx)
		if err == nil {
			return b, nil
		}
		refused = err
		if ctx.Err() != nil {
			break
		}
		if i < len(w.Groups)-1 {
			c.count("spilled")
		}
	}
	if refused != nil {
		return binding.Binding{}, refused
	}
	c.count("no_open_endpoint")
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, c.whyClosed(w.Groups)).WithRetryAfter(retryAfter)
}

// whyClosed tells why no endpoint of the groups is open.
func (c *Coordinator) whyClosed(groups []group.Group) string {
	var endpoints []host.Host
	for _, g := range groups {
		endpoints = append(endpoints, c.places.Endpoints(g)...)
	}
	isInZone := func(endpoint host.Host) bool { return !c.places.IsZoneOut(endpoint.AvailabilityZone) }
	if len(endpoints) == 0 || slices.ContainsFunc(endpoints, isInZone) {
		return "no endpoint is open"
	}
	return "operators have taken out every availability zone that may serve the request"
}

// patience is until when a request waits for its preferred group before another region helps.
func patience(now, until time.Time) time.Time {
	return now.Add(until.Sub(now) / patienceShare)
}

// Finish ends a bond with what the exchange showed.
func (c *Coordinator) Finish(b binding.Binding, r report.Report) {
	now := c.clock()
	in := c.cellFor(b.Group)
	in.mu.Lock()
	defer in.mu.Unlock()
	c.activate(in)
	c.notice(now, in)
	if b.Alone {
		c.perform(now, in, in.arbiter.FinishAlone(now, b.Endpoint.ID, r))
		return
	}
	if r.Err == nil && !r.Cancelled && !b.Cold {
		in.admitter.Finish(r.Latency)
	}
	c.perform(now, in, in.arbiter.Finish(now, b.Endpoint.ID, b.Cold, r))
}

// request is one request that asks for an endpoint of one group.
type request struct {
	coordinator *Coordinator
	group       group.Group
	cell        *cell
	wish        wish.Wish
	askedAt     time.Time
	id          uint64
	bound       chan libbinding.Binding
	// unsent says that the owner could not be asked.
	unsent bool
}

// preferAlone binds without asking the owner where the control budget is short; it is called with the cell locked.
func (r *request) preferAlone(now time.Time) (host.Host, bool) {
	c := r.coordinator
	if !r.cell.arbiter.PrefersAlone() {
		return host.Host{}, false
	}
	endpoint, ok := r.cell.arbiter.Alone(now, r.wish, c.members.Sharers(now), c.connections.Proved)
	if ok {
		c.count("bound_alone")
	}
	return endpoint, ok
}

// ask is called with the cell locked.
func (r *request) ask(now time.Time) {
	c := r.coordinator
	r.id = c.lastID.Add(1)
	r.bound = make(chan libbinding.Binding, 1)
	r.cell.waiting[r.id] = r.bound
	c.activate(r.cell)
	refused := r.cell.admitter.Admit(now, r.id, r.wish.Urgency, r.wish.Until)
	c.refuse(now, r.cell, refused)
	if slices.Contains(refused, r.id) {
		return
	}
	r.unsent = !c.perform(now, r.cell, r.cell.arbiter.Ask(now, r.id, r.wish))
	r.unsent = r.unsent || r.cell.arbiter.Owner() == ""
}

func (r *request) wait(ctx context.Context) (binding.Binding, error) {
	timeout := r.coordinator.ownerTimeout
	if r.group.Region != r.coordinator.region {
		timeout *= farTimes
	}
	first := timeout
	if r.unsent {
		first = 0
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case b, ok := <-r.bound:
			return r.finish(b, ok)
		case <-timer.C:
			if endpoint, ok := r.tryAlone(); ok {
				return binding.Binding{Group: r.group, Endpoint: endpoint, Alone: true}, nil
			}
			timer.Reset(timeout)
		case <-ctx.Done():
			return r.cancel()
		}
	}
}

func (r *request) finish(b libbinding.Binding, ok bool) (binding.Binding, error) {
	if !ok {
		r.coordinator.count("bind_expired")
		return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint had room before the deadline").WithRetryAfter(retryAfter)
	}
	r.cell.mu.Lock()
	endpoint, listed := r.cell.arbiter.Endpoint(b.Endpoint)
	r.cell.mu.Unlock()
	bond := binding.Binding{Group: r.group, Endpoint: endpoint, Cold: b.Cold, SendBy: b.Until}
	if !listed {
		bond.Endpoint = host.Host{ID: b.Endpoint}
		r.coordinator.Finish(bond, report.Report{Cancelled: true, Unsent: true})
		return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "the endpoint is gone").WithRetryAfter(retryAfter)
	}
	return bond, nil
}

// tryAlone binds without the owner if the owner could not be asked, is silent or has no budget to answer.
func (r *request) tryAlone() (host.Host, bool) {
	c := r.coordinator
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	if _, waits := r.cell.waiting[r.id]; !waits {
		return host.Host{}, false
	}
	if !r.unsent && !r.cell.arbiter.IsOwnerSilent(r.askedAt) && !r.cell.arbiter.IsCoarse() {
		return host.Host{}, false
	}
	now := c.clock()
	endpoint, ok := r.cell.arbiter.Alone(now, r.wish, c.members.Sharers(now), c.connections.Proved)
	if !ok {
		c.count("alone_denied")
		return host.Host{}, false
	}
	c.count("bound_alone")
	delete(r.cell.waiting, r.id)
	r.cell.admitter.Start(now, r.id)
	c.perform(now, r.cell, r.cell.arbiter.Cancel(now, r.id))
	return endpoint, true
}

// cancel gives the request up, and its bond if one has just come.
func (r *request) cancel() (binding.Binding, error) {
	c := r.coordinator
	r.cell.mu.Lock()
	r.cell.admitter.Drop(c.clock(), r.id)
	delete(r.cell.waiting, r.id)
	c.perform(c.clock(), r.cell, r.cell.arbiter.Cancel(c.clock(), r.id))
	r.cell.mu.Unlock()
	select {
	case b, ok := <-r.bound:
		if ok {
			c.Finish(binding.Binding{Group: r.group, Endpoint: host.Host{ID: b.Endpoint}, Cold: b.Cold}, report.Report{Cancelled: true, Unsent: true})
		}
	default:
	}
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint had room before the deadline").WithRetryAfter(retryAfter)
}
