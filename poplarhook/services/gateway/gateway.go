package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/budgeter"
	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/divider"
	"poplarhook.example/poplarhook/models/lapsekeeper"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/allowance"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/locator"
	"poplarhook.example/poplarhook/services/seconder"
	"poplarhook.example/poplarhook/services/sender"
	"poplarhook.example/poplarhook/services/supplier"
	"poplarhook.example/poplarhook/services/surveyor"
)

// Gateway is one entry host on a platform that gives endpoints and configuration.
type Gateway struct {
	deployment atomic.Pointer[deployment.Deployment]
	listeners  Listeners
	platform   Platform
	logger     *zap.Logger
	clock      func() time.Time
	meter      *meter.Meter

	places     *locator.Locator
	sender     *sender.Sender
	surveyor   *surveyor.Surveyor
	supplier   *supplier.Supplier
	repeats    *allowance.Allowance
	dispatcher *dispatcher.Dispatcher
	callers    http.Handler
	draining   atomic.Bool
	// heard says that the views below are kept up to date.
	heard atomic.Bool
	// hosts and listed are how many entry hosts and endpoints there are.
	hosts  atomic.Int64
	listed atomic.Int64
	// region ranks the entry hosts of the own region.
	region atomic.Pointer[ranker.Ranker]

	mu sync.Mutex
	// endpoints, configuration and zonesOut are what was last heard.
	endpoints     view.View[host.Host]
	lapses        *lapsekeeper.Keeper
	used          map[string]host.Host
	configuration snapshot.Snapshot
	zonesOut      []string
}

// Listeners are where a gateway answers.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Platform is what a gateway gets from its platform.
type Platform struct {
	Dialect Dialect
	Store   supplier.Store
}

// New returns a Gateway by settings that have passed their check; its parts end with the context.
func New(ctx context.Context, d deployment.Deployment, l Listeners, p Platform, m *meter.Meter, logger *zap.Logger, clock func() time.Time) *Gateway {
	g := &Gateway{
		listeners: l,
		platform:  p,
		logger:    logger,
		clock:     clock,
		meter:     m,
		places:    locator.New(d.Region),
	}
	g.deployment.Store(&d)
	g.lapses = lapsekeeper.New()
	alone := ranker.New(d.HostID)
	g.region.Store(&alone)
	g.sender = sender.New(
		sender.WithClock(clock),
		sender.WithEncoder(p.Dialect),
		sender.WithAges(proofAge, reuseAge),
		sender.WithShare(g.connectionSharers),
		sender.WithExchange(exchanger.WithUnframed(), exchanger.WithSurplus(), exchanger.WithDialTimeout(dialTimeout)))
	g.surveyor = surveyor.New(context.WithoutCancel(ctx), d.HostID, d.Region, g.places, asker{g},
		surveyor.WithClock(clock),
		surveyor.WithLogger(logger),
		surveyor.WithCounter(g.meter.Count),
		surveyor.WithLookRate(g.lookRate),
		surveyor.WithSharers(g.coldSharers))
	g.repeats = allowance.New(d.Bounds.RetryShare*retryShareUsed,
		budgeter.WithMinimum(0),
		budgeter.WithWindow(d.Bounds.RetryWindow()))
	g.dispatcher = dispatcher.New(g.surveyor, g.sender, g.places,
		dispatcher.WithClock(clock),
		dispatcher.WithReader(p.Dialect),
		dispatcher.WithLogger(logger),
		dispatcher.WithCounter(g.meter.Count),
		dispatcher.WithHedges(seconder.New(), g.repeats),
		dispatcher.WithRetries(g.repeats),
		dispatcher.WithOnceRetries(g.repeats))
	g.callers = caller.New(g.places.Classifier, g.dispatcher,
		caller.WithClock(clock),
		caller.WithDialect(p.Dialect),
		caller.WithDivider(divider.New().Divide),
		caller.WithLogger(logger),
		caller.WithMaxBody(maxBody),
		caller.WithScreen(screener.IsAmbiguous),
		caller.WithCounter(g.meter.CountRequest))
	self := host.Host{
		ID:               d.HostID,
		Role:             host.RoleEntry,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		PeerAddress:      d.PeerListen,
		Capacity:         d.Capacity(),
		State:            host.StateLive,
	}
	g.supplier = supplier.New(self, p.Store, supplier.Hooks{
		Configuration: g.setConfiguration,
		Endpoints:     g.setEndpoints,
		ZonesOut:      g.setZonesOut,
		Members:       g.setMembers,
		Heard:         func(heard bool) { g.heard.Store(heard) },
		Grace:         g.setGrace,
	}, supplier.WithSeeds(d.Seeds...), supplier.WithBound(d.Bounds.Change()),
		supplier.WithLapseGrace(min(lapseGrace, d.Bounds.Leaving()*lapsePart/100)), supplier.WithClock(clock), supplier.WithLogger(logger), supplier.WithCounter(g.meter.Count),
		supplier.WithHistory(time.Duration(d.HistoryS*float64(time.Second))))
	return g
}

const (
	// proofAge is below the shortest time in which an endpoint may close an idle connection; a look proves a
	// connection a moment before it is used.
	proofAge = 250 * time.Millisecond
	// reuseAge is how long a connection may rest when the endpoint states no shorter idle time; the known ones close
	// after ten seconds.
	reuseAge = 8 * time.Second
	// dialTimeout bounds a new connection; the way to the farthest region takes some 25 ms.
	dialTimeout = 250 * time.Millisecond
	// minConnectionSharers is how many hosts are taken to share the connections that an endpoint accepts before the
	// others are known.
	minConnectionSharers = 16
	// lapseGrace is within what time of the store's return entries come back, by the platform's page, less a reserve.
	// lapsePart is the most of the time, in percent, that a leaving endpoint may still be used.
	lapseGrace = 1900 * time.Millisecond
	lapsePart  = 95
	// retryShareUsed and retrySlackUsed keep repeats under the deployment's bound where hosts count differently.
	retryShareUsed = 0.7
	retrySlackUsed = 0.7
	// maxBody bounds what a request may hold in memory, in bytes.
	maxBody = 64 << 20
)

// SetDeployment takes new bounds; names and addresses stay those of the start.
func (g *Gateway) SetDeployment(d deployment.Deployment) {
	next := *g.deployment.Load()
	next.Bounds = d.Bounds
	g.deployment.Store(&next)
}

// coldSharers returns how many hosts share the rate of a cold endpoint and whether this one is among them.
//
// Each of them may send one request at once, which the slack covers; together
// they send at the declared rate.
func (g *Gateway) coldSharers(endpoint host.Host) (int, bool) {
	sharers := g.region.Load().Best(endpoint.ID, int(max(g.deployment.Load().Bounds.ColdSlack, 1)))
	return len(sharers), slices.Contains(sharers, g.deployment.Load().HostID)
}

// connectionSharers returns how many hosts share the connections that an endpoint accepts.
func (g *Gateway) connectionSharers() int {
	return int(max(g.hosts.Load(), minConnectionSharers))
}

// probesUsed is the part of the allowed health checks that hosts use together.
const probesUsed = 0.7

// lookRate returns this host's part of the health checks that all endpoints together may get in a second.
func (g *Gateway) lookRate() float64 {
	hosts := max(g.hosts.Load(), 1)
	endpoints := g.listed.Load()
	return probesUsed * g.deployment.Load().Bounds.ProbesPerSecond * float64(max(endpoints, 1)) / float64(hosts)
}

// setMembers takes in which entry hosts there are.
func (g *Gateway) setMembers(v view.View[host.Host]) {
	ids := []string{g.deployment.Load().HostID}
	hosts := len(v.Items)
	if _, listed := v.Items[g.deployment.Load().HostID]; !listed {
		hosts++
	}
	for id, m := range v.Items {
		if m.Region == g.deployment.Load().Region {
			ids = append(ids, id)
		}
	}
	region := ranker.New(ids...)
	g.region.Store(&region)
	g.hosts.Store(int64(hosts))
	g.repeats.SetMinimum(int(g.deployment.Load().Bounds.RetrySlack * retrySlackUsed / float64(hosts)))
	g.logger.Info("entry hosts known", zap.Int("hosts", hosts), zap.Int("in_region", len(ids)), zap.Int64("store_revision", v.Revision))
}

// setConfiguration puts the newest configuration in force; one that is older than that in force is not believed.
func (g *Gateway) setConfiguration(v view.View[snapshot.Snapshot]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range v.Items {
		if one.Revision <= g.configuration.Revision {
			continue
		}
		g.configuration = one
		g.applyConfiguration()
		g.applyEndpoints()
		g.logger.Info("configuration in force", zap.Int64("version", one.Revision), zap.Int64("store_revision", v.Revision),
			zap.Int("classes", len(one.Documents[0].Classes)))
	}
}

// setEndpoints takes in the list of endpoints.
func (g *Gateway) setEndpoints(v view.View[host.Host]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = g.lapses.Use(g.clock(), g.used, v.Items)
	g.endpoints = v
	g.applyEndpoints()
	for _, c := range v.Changed {
		g.logger.Info("endpoint changed", zap.String("endpoint", c.Name), zap.Bool("removed", c.Removed),
			zap.String("state", c.Value.State), zap.String("incarnation", c.Value.Incarnation), zap.Int64("store_revision", v.Revision))
	}
	if v.Changed == nil {
		g.logger.Info("endpoints listed", zap.Int("endpoints", len(v.Items)), zap.Int64("store_revision", v.Revision))
	}
}

// setZonesOut takes in which availability zones operators have taken out.
func (g *Gateway) setZonesOut(v view.View[json.RawMessage]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zonesOut = g.zonesOut[:0]
	for zone := range v.Items {
		g.zonesOut = append(g.zonesOut, zone)
	}
	g.applyConfiguration()
	g.logger.Info("zones out", zap.Strings("zones", g.zonesOut), zap.Int64("store_revision", v.Revision))
}

// setGrace keeps endpoints in use whose entries lapsed while the store was away, for as long as they may come back.
func (g *Gateway) setGrace(left time.Duration) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lapses.Extend(now.Add(left)) {
		return
	}
	time.AfterFunc(left, g.endLapses)
	g.logger.Info("lapsed endpoints may come back", zap.Duration("grace", left))
}

// endLapses takes endpoints out of use that have not come back.
func (g *Gateway) endLapses() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = g.lapses.Use(g.clock(), g.used, g.endpoints.Items)
	g.applyEndpoints()
}

// applyConfiguration puts the newest configuration and the zones that are out in force; the lock is held.
func (g *Gateway) applyConfiguration() {
	if g.configuration.Revision > 0 {
		g.places.SetSnapshot(g.configuration.WithZonesOut(g.zonesOut...))
	}
}

// applyEndpoints joins the endpoints with what is declared of their services; the lock is held.
func (g *Gateway) applyEndpoints() {
	d := directoryOf(g.endpoints.Revision, g.used, g.configuration)
	g.places.SetDirectory(d)
	g.listed.Store(int64(len(g.used)))
	g.sender.Retain(d.Endpoints())
	g.surveyor.Retain(d.Endpoints())
}

// isReady reports whether the host should get new connections.
func (g *Gateway) isReady() bool {
	_, configured := g.places.Snapshot()
	return configured && !g.draining.Load() && len(g.places.Groups()) > 0
}
