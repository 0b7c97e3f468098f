package gateway

import (
	"context"
	"slices"
	"time"

	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/conductor"
	"poplarhook.example/poplarhook/models/splitter"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/apportioner"
	"poplarhook.example/poplarhook/services/rolloutdecider"
	"poplarhook.example/poplarhook/services/rolloutreporter"
)

// rollouts are the parts that carry out orders to move services to other versions. A nil pointer does nothing.
type rollouts struct {
	apportioner *apportioner.Apportioner
	decider     *rolloutdecider.Decider
	reporter    *rolloutreporter.Reporter
}

const (
	// suspendPercent is the part of the bound on rolling back after which a host that has no contact to the decider
	// sends nothing more to a version on trial, in percent.
	suspendPercent = 60
	// reportsInRollback is the number of reports within the bound on rolling back: three steps follow the report that
	// shows the bad responses, each with its own delay.
	reportsInRollback = 8
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = time.Second
	// takeOverKey ranks the regions, in each of which one host follows the store, for the role of the decider.
	takeOverKey = "rollouts"
)

// newRollouts returns the parts that carry out orders, nil if the deployment does not allow them.
func (g *Gateway) newRollouts(d deployment.Deployment) *rollouts {
	if !d.Bounds.HasRollouts() {
		return nil
	}
	rollback := d.Bounds.RollbackTimeout()
	r := &rollouts{}
	r.apportioner = apportioner.New(splitter.New(d.HostID, d.Bounds.ConfigurationTimeout(), rollback*suspendPercent/100),
		apportioner.WithClock(g.clock), apportioner.WithLogger(g.logger), apportioner.WithCounter(g.meter.Count))
	r.decider = rolloutdecider.New(rolloutdecider.Host{
		ID:           d.HostID,
		FollowsStore: func() bool { return g.supplier.FollowsStore() },
		Place:        g.takeOverPlace,
		Hosts:        g.entryHosts,
		Slots:        g.slotsByVersion,
		Apply:        r.apportioner.SetStates,
		Silence:      func(decider string) time.Duration { return r.reporter.Silence(decider) },
	}, g.platform.Rollouts, conductor.New(d.HostID, d.Bounds.ExposeShare, d.Bounds.ExposeSlack),
		rolloutdecider.WithClock(g.clock), rolloutdecider.WithLogger(g.logger), rolloutdecider.WithCounter(g.meter.Count))
	r.reporter = rolloutreporter.New(d.HostID, r.apportioner, g.peerAddress, r.decider.Receive,
		rolloutreporter.WithInterval(min(max(rollback/reportsInRollback, minReportInterval), maxReportInterval)),
		rolloutreporter.WithClock(g.clock), rolloutreporter.WithLogger(g.logger), rolloutreporter.WithCounter(g.meter.Count))
	return r
}

// run starts the parts and returns the channels that report their ends.
func (r *rollouts) run(ctx context.Context) []<-chan error {
	if r == nil {
		return nil
	}
	return []<-chan error{r.decider.Run(ctx), r.reporter.Run(ctx)}
}

// setEndpoints is called before the endpoints may be chosen.
func (r *rollouts) setEndpoints(endpoints []host.Host) {
	if r != nil {
		r.apportioner.SetEndpoints(endpoints)
	}
}

func (r *rollouts) setOrders(v view.View[rollout.Order]) {
	r.apportioner.SetOrders(v.Items)
	r.decider.SetOrders(v.Items)
}

func (r *rollouts) setStates(v view.View[rollout.State]) {
	states := make([]rollout.State, 0, len(v.Items))
	for _, s := range v.Items {
		states = append(states, s)
	}
	r.apportioner.SetStates(states...)
	r.decider.SetStates(states...)
}

// takeOverPlace returns the place of this host in the order in which hosts begin or take over orders. In each region one
// host follows the store, so the order is that of the regions.
func (g *Gateway) takeOverPlace() int {
	own := g.deployment.Load().Region
	regions := []string{own}
	g.mu.Lock()
	for _, m := range g.members {
		regions = append(regions, m.Region)
	}
	g.mu.Unlock()
	return max(slices.Index(ranker.New(regions...).Rank(takeOverKey), own), 0)
}

// entryHosts returns the ids of all entry hosts.
func (g *Gateway) entryHosts() []string {
	ids := []string{g.deployment.Load().HostID}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.ID != ids[0] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// peerAddress returns the address on which the entry host serves others, empty if the host is not known.
func (g *Gateway) peerAddress(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m host.Host) bool { return m.ID == id })
	if i < 0 {
		return ""
	}
	return g.members[i].PeerAddress
}

// slotsByVersion returns the slots of the service's endpoints that are not leaving.
func (g *Gateway) slotsByVersion(service string) map[string]int {
	slots := make(map[string]int)
	for _, e := range g.locator.Directory().Endpoints() {
		if e.Service == service && !e.IsLeaving() {
			slots[e.Version] += e.Slots
		}
	}
	return slots
}
