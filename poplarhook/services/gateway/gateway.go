package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/budgeter"
	"poplarhook.example/lib/defect"
	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/archiver"
	"poplarhook.example/poplarhook/models/divider"
	"poplarhook.example/poplarhook/models/freshness"
	"poplarhook.example/poplarhook/models/graceperiod"
	"poplarhook.example/poplarhook/models/shedder"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/hedgeplanner"
	"poplarhook.example/poplarhook/services/inspector"
	"poplarhook.example/poplarhook/services/locator"
	"poplarhook.example/poplarhook/services/memorylimiter"
	"poplarhook.example/poplarhook/services/offerlimiter"
	"poplarhook.example/poplarhook/services/quotakeeper"
	"poplarhook.example/poplarhook/services/retrybudget"
	"poplarhook.example/poplarhook/services/rolloutdecider"
	"poplarhook.example/poplarhook/services/selector"
	"poplarhook.example/poplarhook/services/sender"
	"poplarhook.example/poplarhook/services/supplier"
)

// Gateway is one entry host on a platform whose store provides endpoints and configuration.
type Gateway struct {
	deployment atomic.Pointer[deployment.Deployment]
	listeners  Listeners
	platform   Platform
	logger     *zap.Logger
	clock      func() time.Time
	// bootClock returns the time since the machine was started, and freshness tells by it whether keys may be accepted; it
	// is nil unless revocation is strict. wasFresh is its latest answer.
	bootClock func() time.Duration
	freshness *freshness.Tracker
	wasFresh  atomic.Bool
	meter     *meter.Meter

	locator *locator.Locator
	sender  *sender.Sender
	// memory limits the bodies and large heads of all requests.
	memory   *memorylimiter.Limiter
	selector *selector.Selector
	supplier *supplier.Supplier
	// rollouts carries out orders to move services to other versions, nil where the deployment does not allow them.
	rollouts *rollouts
	// retryBudget limits hedges and retries together.
	retryBudget *retrybudget.Budget
	dispatcher  *dispatcher.Dispatcher
	// offers refuses requests that come to an endpoint too late in a stop.
	offers    *offerlimiter.Limiter
	inspector *inspector.Inspector
	quotas    *quotakeeper.Keeper
	archive   *archiver.Archiver
	callers   *caller.Caller
	draining  atomic.Bool
	// configured is closed when the gateway has a configuration and endpoints for the first time.
	configured chan struct{}
	// firstUnconfigured is the arrival of the first request that found no configuration, in Unix nanoseconds, zero
	// before.
	firstUnconfigured atomic.Int64
	setConfigured     func()
	// viewsCurrent is true while the views below are kept up to date.
	viewsCurrent atomic.Bool
	// hostCount and endpointCount are the numbers of known entry hosts and of usable endpoints.
	hostCount     atomic.Int64
	endpointCount atomic.Int64
	// regionHosts ranks the entry hosts of the own region.
	regionHosts atomic.Pointer[ranker.Ranker]

	mu sync.Mutex
	// members are the entry hosts of the platform.
	members []host.Host
	// endpoints, configuration and zonesOut are the latest received state. usable are the endpoints in use, which
	// include expired ones during a grace period.
	endpoints     view.View[host.Host]
	gracePeriod   *graceperiod.Tracker
	usable        map[string]host.Host
	configuration snapshot.Snapshot
	zonesOut      []string
	// wasRestored is true once the store was restored from an older copy.
	wasRestored bool
	// keptZones are out of service, until keepUntil, although a restored store does not list them yet.
	keptZones []string
	keepUntil time.Time
	// unreadable are the defects of the newest configuration if it cannot be read at all, so that an older one or none
	// is in force.
	unreadable []defect.Defect
}

// Listeners are the listeners on which a gateway serves.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Platform provides the protocol and the store of the platform.
type Platform struct {
	Dialect Dialect
	Store   supplier.Store
	// Rollouts writes how far orders to move services to other versions are carried out.
	Rollouts rolloutdecider.Store
}

// New returns a Gateway with the given settings, which must be valid. It serves until the context of Run ends.
func New(ctx context.Context, d deployment.Deployment, l Listeners, p Platform, m *meter.Meter, logger *zap.Logger, clock func() time.Time, options ...Option) *Gateway {
	g := &Gateway{
		listeners:   l,
		platform:    p,
		logger:      logger,
		clock:       clock,
		bootClock:   defaultBootClock,
		meter:       m,
		locator:     locator.New(d.Region),
		gracePeriod: graceperiod.New(),
		inspector:   inspector.New(inspector.WithLogger(logger)),
		archive:     archiver.New(),

		configured: make(chan struct{}),
	}
	g.setConfigured = sync.OnceFunc(func() { close(g.configured) })
	g.deployment.Store(&d)
	for _, option := range options {
		option(g)
	}
	if bound := d.Bounds.RevokeTimeout(); bound > 0 {
		g.freshness = freshness.New(bound)
	}
	regionHosts := ranker.New(d.HostID)
	g.regionHosts.Store(&regionHosts)
	g.quotas = g.newQuotas(d)
	g.rollouts = g.newRollouts(d)
	g.buildRequestPath(ctx, d)
	g.supplier = g.newSupplier(d)
	return g
}

const (
	// onceOnlyMaxIdleTime is how long after its last answer a connection may carry a once-only request. It is below
	// the shortest time after which an endpoint may close an idle connection. A probe, sent right before a request,
	// leaves a connection with a recent answer.
	onceOnlyMaxIdleTime = 250 * time.Millisecond
	// maxIdleConnections is how many idle connections to one endpoint are kept; each one takes memory at both ends.
	maxIdleConnections = 4
	// maxIdleTime is how long a connection may be idle before reuse unless the endpoint states a shorter idle time; the
	// known endpoints close idle connections after ten seconds.
	maxIdleTime = 8 * time.Second
	// dialTimeout bounds the time to open a connection; the network delay to the farthest region is about 25 ms.
	dialTimeout = 250 * time.Millisecond
	// maxBodyBytes bounds the body that a request may keep in memory, even if a configuration allows more.
	maxBodyBytes = 64 << 20
)

// buildRequestPath creates the components that handle requests. Probes may outlast the context, as requests do during a
// stop.
func (g *Gateway) buildRequestPath(ctx context.Context, d deployment.Deployment) {
	g.sender = sender.New(
		sender.WithClock(g.clock),
		sender.WithEncoder(g.platform.Dialect),
		sender.WithMaxIdleTimes(onceOnlyMaxIdleTime, maxIdleTime),
		sender.WithEntryHosts(g.connectionSharers),
		sender.WithExchangerOptions(exchanger.WithCloseDelimited(), exchanger.WithTrailingBytes(),
			exchanger.WithDialTimeout(dialTimeout), exchanger.WithMaxIdle(maxIdleConnections),
			exchanger.WithMaxHead(d.AnswerHeadLimit())))
	selectorOptions := []selector.Option{
		selector.WithClock(g.clock),
		selector.WithLogger(g.logger),
		selector.WithCounter(g.meter.Count),
		selector.WithProbeRate(g.probeRate),
		selector.WithColdSharers(g.coldSharers),
	}
	if g.rollouts != nil {
		selectorOptions = append(selectorOptions, selector.WithVersions(g.rollouts.apportioner))
	}
	if d.Admission.ByCost {
		selectorOptions = append(selectorOptions, selector.WithAdmissionByCost(shedder.Weights(d.Admission.Weights)))
	}
	g.selector = selector.New(context.WithoutCancel(ctx), d.HostID, d.Region, g.locator, healthProber{g}, selectorOptions...)
	g.retryBudget = retrybudget.New(d.Bounds.RetryShare*retryShareFraction,
		budgeter.WithMinimum(0),
		budgeter.WithWindow(d.Bounds.RetryWindow()))
	g.offers = offerlimiter.New(g.selector, g.clock, g.meter.Count)
	g.dispatcher = dispatcher.New(g.offers, g.sender, g.locator,
		dispatcher.WithClock(g.clock),
		dispatcher.WithReader(g.platform.Dialect),
		dispatcher.WithObserver(g.selector.Observe),
		dispatcher.WithQuietRetryAfter(g.selector.QuietRetryAfter),
		dispatcher.WithLogger(g.logger),
		dispatcher.WithCounter(g.meter.Count),
		dispatcher.WithHedges(hedgeplanner.New(), g.retryBudget),
		dispatcher.WithRetries(g.retryBudget),
		dispatcher.WithOnceOnlyRetries(g.retryBudget))
	g.memory = memorylimiter.New(d.BodyMemory(),
		memorylimiter.WithClock(g.clock),
		memorylimiter.WithCounter(g.meter.Count),
		memorylimiter.WithLogger(g.logger))
	g.callers = caller.New(g.locator.Classifier, g.dispatcher,
		caller.WithClock(g.clock),
		caller.WithDialect(g.platform.Dialect),
		caller.WithQuota(g.quotas),
		caller.WithDivider(divider.New().Divide),
		caller.WithLogger(g.logger),
		caller.WithBodyLimit(g.maxBodySize),
		caller.WithMemory(g.memory),
		caller.WithAmbiguityCheck(screener.IsAmbiguous),
		caller.WithEarlyResults(screener.EarlyResult),
		caller.WithConfigurationWait(g.awaitConfiguration),
		caller.WithUnconfiguredReason(g.unconfiguredReason),
		caller.WithBodyDefect(g.bodyDefect),
		caller.WithKeyCheck(g.checkKeys),
		caller.WithCounter(g.meter.CountRequest))
}

// maxBodySize returns the maximum size of a request body, in bytes.
func (g *Gateway) maxBodySize() int64 {
	s, _ := g.locator.Snapshot()
	if s.Limit.BodyBytes <= 0 {
		return maxBodyBytes
	}
	return min(s.Limit.BodyBytes, maxBodyBytes)
}

// bodyDefect says why the limit on the bodies of requests cannot be read, empty if it can.
func (g *Gateway) bodyDefect() string {
	s, _ := g.locator.Snapshot()
	return s.Limit.Defect
}

// unconfiguredReason says why no configuration is in force.
func (g *Gateway) unconfiguredReason() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unreadable) > 0 {
		return "no configuration is in force, and the newest one cannot be read: " + g.unreadable[0].String()
	}
	return "no configuration is in force yet"
}

const (
	// expiryGracePeriod is how long expired entries stay in use after the store has become available again. It is the
	// time within which endpoints renew their entries, as documented by the platform, less a reserve.
	expiryGracePeriod = 1900 * time.Millisecond
	// maxLeavingPercent bounds the grace period to this part of the time for which a leaving endpoint may still be
	// used.
	maxLeavingPercent = 95
)

// ownHost returns this host as it is listed for others.
func ownHost(d deployment.Deployment) host.Host {
	return host.Host{
		ID:               d.HostID,
		Role:             host.RoleEntry,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		PeerAddress:      d.PeerListen,
		AdminAddress:     d.AdminAddress(),
		Capacity:         d.Capacity(),
		State:            host.StateLive,
	}
}

// newSupplier returns the Supplier that keeps this host's views up to date.
func (g *Gateway) newSupplier(d deployment.Deployment) *supplier.Supplier {
	self := ownHost(d)
	hooks := supplier.Hooks{
		Configuration: g.setConfiguration,
		Endpoints:     g.setEndpoints,
		ZonesOut:      g.setZonesOut,
		Members:       g.setMembers,
		UpToDate:      g.viewsCurrent.Store,
		GracePeriod:   g.setGracePeriod,
		Restored:      g.setRestored,
		Orders:        g.rollouts.setOrders,
		RolloutStates: g.rollouts.setStates,
	}
	store := g.platform.Store
	if g.rollouts == nil {
		store.Orders, store.RolloutStates = nil, nil
	}
	return supplier.New(self, store, hooks, append(g.revocationOptions(),
		supplier.WithClock(g.clock),
		supplier.WithLogger(g.logger),
		supplier.WithCounter(g.meter.Count),
		supplier.WithSeeds(d.Seeds...),
		supplier.WithBound(d.Bounds.ChangeTimeout()),
		supplier.WithGracePeriod(min(expiryGracePeriod, d.Bounds.LeavingTimeout()*maxLeavingPercent/100)),
		supplier.WithHistory(d.HistoryRetention()))...)
}

// SetDeployment replaces the bounds; changes of names and addresses have no effect until a restart.
func (g *Gateway) SetDeployment(d deployment.Deployment) {
	next := *g.deployment.Load()
	next.Bounds = d.Bounds
	g.deployment.Store(&next)
	g.quotas.SetLimits(quotaLimits(next.Bounds))
}

// configurationWait is how long a request waits for the first configuration. A host that needs it at once reads it from
// the store, which answers in about 10 ms, or 100 ms when it is slow.
const configurationWait = 150 * time.Millisecond

// initialWaitPeriod is how long after the first request that found no configuration further requests wait for one too.
// If there is still no configuration then, the store is unavailable and requests are refused at once.
const initialWaitPeriod = time.Second

// awaitConfiguration makes the supplier fetch the first configuration without delay and waits for it.
//
// It serves a host that gets requests right after its start, as happens after
// all hosts failed at the same time.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	g.supplier.SetUrgent()
	now := g.clock().UnixNano()
	if !g.firstUnconfigured.CompareAndSwap(0, now) && now-g.firstUnconfigured.Load() > initialWaitPeriod.Nanoseconds() {
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

// isReady reports whether the host is configured, can accept keys and is not stopping, so that it may get new connections.
func (g *Gateway) isReady() bool {
	return g.isConfigured() && !g.draining.Load() && g.isUsable()
}

// isConfigured reports whether the host has a configuration and at least one endpoint.
func (g *Gateway) isConfigured() bool {
	_, configured := g.locator.Snapshot()
	return configured && len(g.locator.Directory().Regions()) > 0
}
