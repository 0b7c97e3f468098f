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
	"poplarhook.example/poplarhook/models/requirement"
)

const (
	retryAfter = time.Second
	// remoteOwnerTimeoutFactor multiplies the owner timeout for groups of another region.
	remoteOwnerTimeoutFactor = 4
	// preferredGroupDivisor divides the time left until a request's deadline to give its wait for the preferred group.
	preferredGroupDivisor = 4
)

// Bind waits for an endpoint of the request's preferred group, and then of its next groups if that one has none in
// time.
//
// Its error is a refusal of a request that was not run.
func (c *Coordinator) Bind(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	var refused error
	for i, g := range req.Groups {
		now := c.clock()
		gs := c.groupStateFor(g)
		gs.mu.Lock()
		c.processGroupAfterPause(now, gs)
		if !gs.arbiter.HasOpenEndpoint(now) {
			gs.mu.Unlock()
			continue
		}
		r := &request{coordinator: c, group: g, groupState: gs, requirement: req, queuedAt: now}
		if i < len(req.Groups)-1 {
			r.requirement = req.WithDeadline(preferredGroupDeadline(now, req.Deadline))
		}
		if endpoint, ok := r.bindLocallyFirst(now); ok {
			gs.mu.Unlock()
			return binding.Binding{Group: g, Endpoint: endpoint, Local: true}, nil
		}
		r.enqueue(now)
		gs.mu.Unlock()
		b, err := r.wait(ctx)
		if err == nil {
			return b, nil
		}
		refused = err
		if ctx.Err() != nil {
			break
		}
		if i < len(req.Groups)-1 {
			c.count("spilled")
		}
	}
	if refused != nil {
		return binding.Binding{}, refused
	}
	c.count("no_open_endpoint")
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, c.closedReason(req.Groups)).WithRetryAfter(retryAfter)
}

// closedReason returns why no endpoint of the groups may get new requests, as a text for the caller.
func (c *Coordinator) closedReason(groups []group.Group) string {
	var endpoints []host.Host
	for _, g := range groups {
		endpoints = append(endpoints, c.locator.Endpoints(g)...)
	}
	isInZone := func(endpoint host.Host) bool { return !c.locator.IsZoneOut(endpoint.AvailabilityZone) }
	if len(endpoints) == 0 || slices.ContainsFunc(endpoints, isInZone) {
		return "no endpoint is open"
	}
	return "operators have taken out every availability zone that may serve the request"
}

// preferredGroupDeadline returns until when a request with the deadline until waits for one of its groups before it
// waits for the next one.
func preferredGroupDeadline(now, until time.Time) time.Time {
	return now.Add(until.Sub(now) / preferredGroupDivisor)
}

// Finish ends a binding and records the report of its exchange with the endpoint.
func (c *Coordinator) Finish(b binding.Binding, r report.Report) {
	now := c.clock()
	gs := c.groupStateFor(b.Group)
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.activateGroup(gs)
	c.processGroupAfterPause(now, gs)
	if b.Local {
		c.applyEffect(now, gs, gs.arbiter.FinishLocal(now, b.Endpoint.ID, r))
		return
	}
	if r.Err == nil && !r.Cancelled && !b.Cold {
		gs.admitter.Finish(r.Latency)
	}
	c.applyEffect(now, gs, gs.arbiter.Finish(now, b.Endpoint.ID, b.Cold, r))
}

// request is one request that waits for an endpoint of one group.
type request struct {
	coordinator     *Coordinator
	group           group.Group
	groupState      *groupState
	requirement     requirement.Requirement
	queuedAt        time.Time
	id              uint64
	bindingReceived chan libbinding.Binding
	// demandNotSent is true if no demand could be sent to the owner.
	demandNotSent bool
}

// bindLocallyFirst binds without the owner if the control budget is low.
// The caller holds the lock of the group state.
func (r *request) bindLocallyFirst(now time.Time) (host.Host, bool) {
	c := r.coordinator
	if !r.groupState.arbiter.PrefersLocalBinding() {
		return host.Host{}, false
	}
	endpoint, ok := r.groupState.arbiter.BindLocally(now, r.requirement, c.members.Sharers(now), c.connections.HasOpenConnection)
	if ok {
		c.count("bound_alone")
	}
	return endpoint, ok
}

// enqueue adds the request to those that wait in the group, and demands a credit from the group's owner unless the
// admitter refuses the request. The caller holds the lock of the group state.
func (r *request) enqueue(now time.Time) {
	c := r.coordinator
	r.id = c.lastID.Add(1)
	r.bindingReceived = make(chan libbinding.Binding, 1)
	r.groupState.waiting[r.id] = r.bindingReceived
	c.activateGroup(r.groupState)
	refused := r.groupState.admitter.Admit(now, r.id, r.requirement.Urgency, r.requirement.Deadline)
	c.refuseWaiting(now, r.groupState, refused)
	if slices.Contains(refused, r.id) {
		return
	}
	r.demandNotSent = !c.applyEffect(now, r.groupState, r.groupState.arbiter.Bind(now, r.id, r.requirement))
	r.demandNotSent = r.demandNotSent || r.groupState.arbiter.Owner() == ""
}

func (r *request) wait(ctx context.Context) (binding.Binding, error) {
	timeout := r.coordinator.ownerTimeout
	if r.group.Region != r.coordinator.region {
		timeout *= remoteOwnerTimeoutFactor
	}
	first := timeout
	if r.demandNotSent {
		first = 0
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case b, ok := <-r.bindingReceived:
			return r.finish(b, ok)
		case <-timer.C:
			if endpoint, ok := r.bindLocally(); ok {
				return binding.Binding{Group: r.group, Endpoint: endpoint, Local: true}, nil
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
	r.groupState.mu.Lock()
	endpoint, listed := r.groupState.arbiter.Endpoint(b.Endpoint)
	r.groupState.mu.Unlock()
	granted := binding.Binding{Group: r.group, Endpoint: endpoint, Cold: b.Cold, SendBy: b.Until}
	if !listed {
		granted.Endpoint = host.Host{ID: b.Endpoint}
		r.coordinator.Finish(granted, report.Report{Cancelled: true, Unsent: true})
		return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "the endpoint is gone").WithRetryAfter(retryAfter)
	}
	return granted, nil
}

// bindLocally binds without the owner if no demand could be sent to the owner, if the owner does not answer, or if the
// transfer of credits is slow because of the control budget.
func (r *request) bindLocally() (host.Host, bool) {
	c := r.coordinator
	r.groupState.mu.Lock()
	defer r.groupState.mu.Unlock()
	if _, waits := r.groupState.waiting[r.id]; !waits {
		return host.Host{}, false
	}
	if !r.demandNotSent && !r.groupState.arbiter.IsOwnerSilent(r.queuedAt) && !r.groupState.arbiter.IsCreditTransferSlow() {
		return host.Host{}, false
	}
	now := c.clock()
	endpoint, ok := r.groupState.arbiter.BindLocally(now, r.requirement, c.members.Sharers(now), c.connections.HasOpenConnection)
	if !ok {
		c.count("alone_denied")
		return host.Host{}, false
	}
	c.count("bound_alone")
	delete(r.groupState.waiting, r.id)
	r.groupState.admitter.Start(now, r.id)
	c.applyEffect(now, r.groupState, r.groupState.arbiter.Cancel(now, r.id))
	return endpoint, true
}

// cancel cancels the request, ends its binding if one has just arrived, and returns the refusal.
func (r *request) cancel() (binding.Binding, error) {
	c := r.coordinator
	r.groupState.mu.Lock()
	r.groupState.admitter.Drop(c.clock(), r.id)
	delete(r.groupState.waiting, r.id)
	c.applyEffect(c.clock(), r.groupState, r.groupState.arbiter.Cancel(c.clock(), r.id))
	r.groupState.mu.Unlock()
	select {
	case b, ok := <-r.bindingReceived:
		if ok {
			c.Finish(binding.Binding{Group: r.group, Endpoint: host.Host{ID: b.Endpoint}, Cold: b.Cold}, report.Report{Cancelled: true, Unsent: true})
		}
	default:
	}
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint had room before the deadline").WithRetryAfter(retryAfter)
}
