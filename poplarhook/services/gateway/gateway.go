package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/budgeter"
	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/archiver"
	"poplarhook.example/poplarhook/models/divider"
	"poplarhook.example/poplarhook/models/lapsekeeper"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/allowance"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/inspector"
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
	inspector  *inspector.Inspector
	archive    *archiver.Archiver
	callers    http.Handler
	draining   atomic.Bool
	// configured is closed once there are a configuration and endpoints.
	configured chan struct{}
	// firstUnready is when the first request came that found no configuration, in Unix nanoseconds, zero before.
	firstUnready  atomic.Int64
	setConfigured func()
	// heard says that the views below are kept up to date.
	heard atomic.Bool
	// hosts and listed are how many entry hosts and endpoints there are.
	hosts  atomic.Int64
	listed atomic.Int64
	// region ranks the entry hosts of the own region.
	region atomic.Pointer[ranker.Ranker]

	mu sync.Mutex
	// members are the entry hosts of the platform.
	members []host.Host
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

// New returns a Gateway by settings that have passed their check; it works until the context of Run ends.
func New(ctx context.Context, d deployment.Deployment, l Listeners, p Platform, m *meter.Meter, logger *zap.Logger, clock func() time.Time) *Gateway {
	g := &Gateway{
		listeners: l,
		platform:  p,
		logger:    logger,
		clock:     clock,
		meter:     m,
		places:    locator.New(d.Region),
		lapses:    lapsekeeper.New(),
		inspector: inspector.New(inspector.WithLogger(logger)),
		archive:   archiver.New(),

		configured: make(chan struct{}),
	}
	g.setConfigured = sync.OnceFunc(func() { close(g.configured) })
	g.deployment.Store(&d)
	alone := ranker.New(d.HostID)
	g.region.Store(&alone)
	g.buildRequests(ctx, d)
	g.supplier = g.newSupplier(d)
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
	// maxBody bounds what a request may hold in memory, in bytes, whatever a configuration allows.
	maxBody = 64 << 20
)

// buildRequests joins the parts that a request passes; looks outlast the context, as requests do during a stop.
func (g *Gateway) buildRequests(ctx context.Context, d deployment.Deployment) {
	g.sender = sender.New(
		sender.WithClock(g.clock),
		sender.WithEncoder(g.platform.Dialect),
		sender.WithAges(proofAge, reuseAge),
		sender.WithShare(g.connectionSharers),
		sender.WithExchange(exchanger.WithUnframed(), exchanger.WithSurplus(), exchanger.WithDialTimeout(dialTimeout)))
	g.surveyor = surveyor.New(context.WithoutCancel(ctx), d.HostID, d.Region, g.places, asker{g},
		surveyor.WithClock(g.clock),
		surveyor.WithLogger(g.logger),
		surveyor.WithCounter(g.meter.Count),
		surveyor.WithLookRate(g.lookRate),
		surveyor.WithSharers(g.coldSharers))
	g.repeats = allowance.New(d.Bounds.RetryShare*retryShareUsed,
		budgeter.WithMinimum(0),
		budgeter.WithWindow(d.Bounds.RetryWindow()))
	g.dispatcher = dispatcher.New(g.surveyor, g.sender, g.places,
		dispatcher.WithClock(g.clock),
		dispatcher.WithReader(g.platform.Dialect),
		dispatcher.WithLogger(g.logger),
		dispatcher.WithCounter(g.meter.Count),
		dispatcher.WithHedges(seconder.New(), g.repeats),
		dispatcher.WithRetries(g.repeats),
		dispatcher.WithOnceRetries(g.repeats))
	g.callers = caller.New(g.places.Classifier, g.dispatcher,
		caller.WithClock(g.clock),
		caller.WithDialect(g.platform.Dialect),
		caller.WithDivider(divider.New().Divide),
		caller.WithLogger(g.logger),
		caller.WithBodyLimit(g.bodyLimit),
		caller.WithScreen(screener.IsAmbiguous),
		caller.WithStart(g.awaitConfiguration),
		caller.WithCounter(g.meter.CountRequest))
}

// bodyLimit returns the largest body that callers may send, in bytes.
func (g *Gateway) bodyLimit() int64 {
	s, _ := g.places.Snapshot()
	if s.Limit.BodyBytes <= 0 {
		return maxBody
	}
	return min(s.Limit.BodyBytes, maxBody)
}

const (
	// lapseGrace is within what time of the store's return entries come back, by the platform's page, less a reserve.
	// lapsePart is the most of the time, in percent, that a leaving endpoint may still be used.
	lapseGrace = 1900 * time.Millisecond
	lapsePart  = 95
)

// newSupplier returns what keeps this host's views up to date.
func (g *Gateway) newSupplier(d deployment.Deployment) *supplier.Supplier {
	self := host.Host{
		ID:               d.HostID,
		Role:             host.RoleEntry,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		PeerAddress:      d.PeerListen,
		AdminAddress:     d.AdminAddress(),
		Capacity:         d.Capacity(),
		State:            host.StateLive,
	}
	hooks := supplier.Hooks{
		Configuration: g.setConfiguration,
		Endpoints:     g.setEndpoints,
		ZonesOut:      g.setZonesOut,
		Members:       g.setMembers,
		Heard:         g.heard.Store,
		Grace:         g.setGrace,
	}
	return supplier.New(self, g.platform.Store, hooks,
		supplier.WithClock(g.clock),
		supplier.WithLogger(g.logger),
		supplier.WithCounter(g.meter.Count),
		supplier.WithSeeds(d.Seeds...),
		supplier.WithBound(d.Bounds.Change()),
		supplier.WithLapseGrace(min(lapseGrace, d.Bounds.Leaving()*lapsePart/100)),
		supplier.WithHistory(d.History()))
}

// SetDeployment takes new bounds; names and addresses stay those of the start.
func (g *Gateway) SetDeployment(d deployment.Deployment) {
	next := *g.deployment.Load()
	next.Bounds = d.Bounds
	g.deployment.Store(&next)
}

// configurationWait is how long a request waits for the first configuration: a host that needs it at once takes it from
// the store, which answers in some 10 ms, 100 ms when it is slow.
const configurationWait = 150 * time.Millisecond

// startTime is how long after the first request without a configuration others wait too: a host that has none by then knows
// that the store is away, and refuses at once.
const startTime = time.Second

// awaitConfiguration has the first configuration taken without delay, as callers are there, and waits for it.
//
// It answers the load of a host that gets requests from its start on, after all hosts were lost at once.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	g.supplier.Hurry()
	now := g.clock().UnixNano()
	if !g.firstUnready.CompareAndSwap(0, now) && now-g.firstUnready.Load() > startTime.Nanoseconds() {
		return
	}
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isReady reports whether the host should get new connections.
func (g *Gateway) isReady() bool {
	return g.isConfigured() && !g.draining.Load()
}

// isConfigured reports whether there are a configuration and endpoints.
func (g *Gateway) isConfigured() bool {
	_, configured := g.places.Snapshot()
	return configured && len(g.places.Groups()) > 0
}
