package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/lender"
	"poplarhook.example/lib/lister"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/directory"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/roster"
	"poplarhook.example/poplarhook/models/scheduler"
	"poplarhook.example/poplarhook/modules/certifier"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/linker"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/assigner"
	"poplarhook.example/poplarhook/services/chooser"
	"poplarhook.example/poplarhook/services/controllimiter"
	"poplarhook.example/poplarhook/services/coordinator"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/heartbeater"
	"poplarhook.example/poplarhook/services/hedgetimer"
	"poplarhook.example/poplarhook/services/leasemanager"
	"poplarhook.example/poplarhook/services/locator"
	"poplarhook.example/poplarhook/services/prober"
	"poplarhook.example/poplarhook/services/refresher"
	"poplarhook.example/poplarhook/services/relayer"
	"poplarhook.example/poplarhook/services/retrybudget"
	"poplarhook.example/poplarhook/services/sender"
)

// Entry is one entry host.
type Entry struct {
	settings  settings.Settings
	logger    *zap.Logger
	clock     func() time.Time
	startedAt time.Time
	meter     *meter.Meter
	listeners Listeners

	locator           *locator.Locator
	store             *storer.Storer
	hostListRefresher *refresher.Refresher
	sender            *sender.Sender
	roster            *roster.Roster
	links             *linker.Linker
	heartbeater       *heartbeater.Heartbeater
	assigner          *assigner.Assigner
	leaseManager      *leasemanager.Manager
	prober            *prober.Prober
	relayer           *relayer.Relayer
	assembler         *assembler.Assembler
	certifier         *certifier.Certifier
	coordinator       *coordinator.Coordinator
	controlLimiter    *controllimiter.Limiter
	dispatcher        *dispatcher.Dispatcher
	callerHandler     http.Handler
	adminHandler      http.Handler
	draining          atomic.Bool
}

// Listeners are the listeners on which an entry host serves callers, other entry hosts and operators.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// New returns an Entry for settings that have been validated.
func New(s settings.Settings, l Listeners, logger *zap.Logger, clock func() time.Time) (*Entry, error) {
	e := &Entry{
		settings:  s,
		logger:    logger,
		clock:     clock,
		startedAt: clock(),
		meter:     meter.New("poplarhook"),
		listeners: l,
		locator:   locator.New(s.Region),
		store:     storer.New(s.StoreURL, storer.WithTimeout(s.StoreTimeout)),
	}
	e.hostListRefresher = refresher.New(lister.New(s.HostListURL), e.setDirectory,
		refresher.WithWait(s.WatchWait), refresher.WithLogger(logger))
	e.controlLimiter = controllimiter.New(e.clock, s.ControlBudget, s.HoldMax, func(holdTime time.Duration) { e.coordinator.SetHoldTime(holdTime) })
	if err := e.buildPeers(); err != nil {
		return nil, err
	}
	e.buildRequests()
	admin, err := e.newAdministrator()
	if err != nil {
		return nil, err
	}
	e.adminHandler = admin
	return e, nil
}

// buildPeers builds the components that communicate with other entry hosts.
func (e *Entry) buildPeers() error {
	s := e.settings
	self := member.Member{
		ID:               s.HostID,
		Incarnation:      uuid.NewString(),
		Region:           s.Region,
		AvailabilityZone: s.AvailabilityZone,
		PeerAddress:      e.listeners.Peers.Addr().String(),
		AdminAddress:     e.listeners.Admin.Addr().String(),
	}
	e.roster = roster.New(e.startedAt, self, roster.WithTimeout(s.HeartbeatTimeout), roster.WithRemoteTimeout(remoteTimeoutFactor*s.HeartbeatTimeout))
	options := []linker.Option{
		linker.WithHandler(e.handleFrame),
		linker.WithLinkHook(e.onLinkChange),
		linker.WithLogger(e.logger),
		linker.WithLimiter(e.controlLimiter),
	}
	if s.PeerCA != "" {
		c, err := certifier.New(s.PeerCA, s.PeerCertificate, s.PeerKey, certifier.WithLogger(e.logger))
		if err != nil {
			return errors.Wrap(err, "peer-ca, peer-certificate, peer-key")
		}
		e.certifier = c
		options = append(options, linker.WithTLS(c.Config()))
	}
	e.links = linker.New(&wire.Hello{
		HostId:           self.ID,
		Incarnation:      self.Incarnation,
		Region:           self.Region,
		AvailabilityZone: self.AvailabilityZone,
		PeerAddress:      self.PeerAddress,
		AdminAddress:     self.AdminAddress,
	}, options...)
	e.heartbeater = heartbeater.New(e.roster, e.links, heartbeater.WithLogger(e.logger),
		heartbeater.WithScheduler(scheduler.New(self, scheduler.WithInterval(s.HeartbeatInterval),
			scheduler.WithBudget(min(heartbeatBudget, s.ControlBudget/heartbeatBudgetDivisor)))))
	e.assigner = assigner.New(e.roster, s.ColdShards)
	e.leaseManager = leasemanager.New(e.store, self.ID+"/"+self.Incarnation, s.LeaseTTL, lender.ColdValidity, s.ColdDeadline, e.clock,
		func(now time.Time, shard string) bool { return e.assigner.OwnerOfShard(now, shard) == self.ID })
	e.assembler = assembler.New(e.store)
	e.relayer = relayer.New(e.store, e.assembler, e.links, e.roster,
		relayer.OnApply(e.setSnapshot),
		relayer.WithWait(s.WatchWait),
		relayer.WithLogger(e.logger),
		relayer.WithCounter(e.meter.Count))
	return nil
}

const (
	// heartbeatBudget is the highest rate that heartbeats should use, in bytes per second.
	heartbeatBudget = 4500
	// heartbeatBudgetDivisor limits heartbeats, as far as possible, to the control budget divided by it.
	heartbeatBudgetDivisor = 2
)

// remoteTimeoutFactor is the ratio of the heartbeat timeout for hosts of other regions to that for hosts of the own
// region.
const remoteTimeoutFactor = 3

// buildRequests builds the components that process requests.
func (e *Entry) buildRequests() {
	s := e.settings
	e.sender = sender.New(
		sender.WithMaxIdleTimes(s.ProofAge, s.ReuseAge),
		sender.WithEntryHosts(func() int { return e.assigner.Sharers(e.clock()) }),
		sender.WithIdleClosedHook(e.onConnectionClosed),
		sender.WithExchangerOptions(exchanger.WithMaxHead(s.MaxAnswerHead)))
	e.coordinator = coordinator.New(s.HostID, s.Region, e.links, e.locator, e.assigner, e.sender,
		coordinator.WithOwnerTimeout(s.OwnerTimeout),
		coordinator.WithOrphanTimeout(lender.ColdValidity+s.ColdDeadline),
		coordinator.WithColdPermission(e.coldPermission),
		coordinator.WithControlBudgetLow(e.controlLimiter.IsNearlySpent),
		coordinator.WithCounter(e.meter.Count))
	e.prober = prober.New(e.sender, e.coordinator, e.controlLimiter, s.ProbeInterval, e.clock, e.meter.Count)
	e.dispatcher = e.newDispatcher()
	e.callerHandler = caller.New(e.locator.Classifier, e.dispatcher,
		caller.WithMaxBody(s.MaxBody), caller.WithMaxRequests(s.MaxRequests),
		caller.WithAmbiguityCheck(screener.IsAmbiguous), caller.WithCounter(e.meter.CountRequest))
}

// newDispatcher builds the dispatcher for the policy in the settings.
func (e *Entry) newDispatcher() *dispatcher.Dispatcher {
	options := []dispatcher.Option{dispatcher.WithCounter(e.meter.Count), dispatcher.WithColdDeadline(e.settings.ColdDeadline)}
	switch e.settings.Policy {
	case settings.PolicyTwoChoices:
		return dispatcher.New(chooser.New(e.locator), e.sender, e.locator, options...)
	case settings.PolicyRandom:
		return dispatcher.New(chooser.New(e.locator, chooser.WithChoices(1)), e.sender, e.locator, options...)
	default:
		options = append(options,
			dispatcher.WithHedges(hedgetimer.New(), retrybudget.New(e.settings.HedgeShare)),
			dispatcher.WithRetries(retrybudget.New(e.settings.RetryShare)))
		return dispatcher.New(e.coordinator, e.sender, e.locator, options...)
	}
}

// handleFrame passes a frame from another entry host to the component that processes it.
func (e *Entry) handleFrame(from string, frame *wire.Frame) {
	switch frame.GetBody().(type) {
	case *wire.Frame_Heartbeat:
		e.heartbeater.Handle(from, frame)
	case *wire.Frame_SnapshotRequest, *wire.Frame_SnapshotReply:
		e.relayer.Handle(from, frame)
	default:
		e.coordinator.Receive(e.clock(), from, frame)
	}
}

// onLinkChange is called when the link with a peer goes up or down.
func (e *Entry) onLinkChange(peer string, up bool) {
	if up {
		e.coordinator.PeerUp(e.clock(), peer)
		return
	}
	e.coordinator.PeerDown(e.clock(), peer)
}

// coldPermission returns until when this host may give work to the cold endpoints of a group that it owns, zero if it
// may not. needed is true while work waits for them.
func (e *Entry) coldPermission(now time.Time, g group.Group, needed bool) time.Time {
	return e.leaseManager.PermittedUntil(now, e.assigner.Shard(g), needed)
}

// onConnectionClosed is called when an endpoint closes an idle connection.
func (e *Entry) onConnectionClosed(address string) {
	if h, listed := e.locator.Directory().GetEndpointByAddress(address); listed {
		e.coordinator.EndpointClosedConnection(e.clock(), h)
	}
}

// setDirectory is called with each new host list.
func (e *Entry) setDirectory(d *directory.Directory) {
	e.locator.SetDirectory(d)
	e.heartbeater.SetHosts(d.Entries())
	e.sender.Retain(d.Endpoints())
	e.coordinator.Update(e.clock())
}

// setSnapshot is called with each configuration that this host adopts.
func (e *Entry) setSnapshot(s snapshot.Snapshot) {
	e.locator.SetSnapshot(s)
	e.coordinator.Update(e.clock())
	e.logger.Info("configuration in force", zap.Int64("revision", s.Revision), zap.String("change_id", s.ChangeID))
}

// checkReady returns nil if the host may receive requests, or else an error that says why not.
func (e *Entry) checkReady() error {
	_, configured := e.locator.Snapshot()
	switch {
	case e.draining.Load():
		return errDraining
	case !configured:
		return errNoConfiguration
	case len(e.locator.Groups()) == 0:
		return errNoEndpoints
	case e.settings.Policy == settings.PolicyOwner && !e.roster.IsFresh(e.clock()):
		return errPeersUnknown
	default:
		return nil
	}
}
