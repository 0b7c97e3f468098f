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
	"poplarhook.example/poplarhook/modules/linker"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/allowance"
	"poplarhook.example/poplarhook/services/assigner"
	"poplarhook.example/poplarhook/services/chooser"
	"poplarhook.example/poplarhook/services/coordinator"
	"poplarhook.example/poplarhook/services/delayer"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/governor"
	"poplarhook.example/poplarhook/services/heartbeater"
	"poplarhook.example/poplarhook/services/locator"
	"poplarhook.example/poplarhook/services/prober"
	"poplarhook.example/poplarhook/services/refresher"
	"poplarhook.example/poplarhook/services/relayer"
	"poplarhook.example/poplarhook/services/sender"
	"poplarhook.example/poplarhook/services/warden"
)

// Entry is one entry host.
type Entry struct {
	settings  settings.Settings
	logger    *zap.Logger
	clock     func() time.Time
	startedAt time.Time
	meter     *meter.Meter
	listeners Listeners

	places      *locator.Locator
	store       *storer.Storer
	hosts       *refresher.Refresher
	sender      *sender.Sender
	roster      *roster.Roster
	links       *linker.Linker
	heartbeats  *heartbeater.Heartbeater
	assigner    *assigner.Assigner
	warden      *warden.Warden
	prober      *prober.Prober
	relayer     *relayer.Relayer
	assembler   *assembler.Assembler
	certifier   *certifier.Certifier
	coordinator *coordinator.Coordinator
	governor    *governor.Governor
	dispatcher  *dispatcher.Dispatcher
	callers     http.Handler
	admin       http.Handler
	draining    atomic.Bool
}

// Listeners are where an entry host answers.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// New returns an Entry by settings that have passed their check.
func New(s settings.Settings, l Listeners, logger *zap.Logger, clock func() time.Time) (*Entry, error) {
	e := &Entry{
		settings:  s,
		logger:    logger,
		clock:     clock,
		startedAt: clock(),
		meter:     meter.New("poplarhook"),
		listeners: l,
		places:    locator.New(s.Region),
		store:     storer.New(s.StoreURL, storer.WithTimeout(s.StoreTimeout)),
	}
	e.hosts = refresher.New(lister.New(s.HostListURL), e.setDirectory,
		refresher.WithWait(s.WatchWait), refresher.WithLogger(logger))
	e.governor = governor.New(e.clock, s.ControlBudget, s.HoldMax, func(hold time.Duration) { e.coordinator.SetHold(hold) })
	if err := e.buildPeers(); err != nil {
		return nil, err
	}
	e.buildRequests()
	admin, err := e.newAdministrator()
	if err != nil {
		return nil, err
	}
	e.admin = admin
	return e, nil
}

// buildPeers joins this host with the other entry hosts.
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
	e.roster = roster.New(e.startedAt, self, roster.WithTimeout(s.HeartbeatTimeout), roster.WithRemoteTimeout(remoteTimes*s.HeartbeatTimeout))
	options := []linker.Option{
		linker.WithHandler(e.handle),
		linker.WithLinkHook(e.linked),
		linker.WithLogger(e.logger),
		linker.WithLimiter(e.governor),
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
	e.heartbeats = heartbeater.New(e.roster, e.links, heartbeater.WithLogger(e.logger),
		heartbeater.WithScheduler(scheduler.New(self, scheduler.WithInterval(s.HeartbeatInterval),
			scheduler.WithBudget(min(heartbeatBudget, s.ControlBudget/heartbeatShare)))))
	e.assigner = assigner.New(e.roster, s.ColdShards)
	e.warden = warden.New(e.store, self.ID+"/"+self.Incarnation, s.LeaseTTL, lender.ColdValidity, s.ColdDeadline, e.clock,
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
	// heartbeatBudget is what heartbeats should cost at most, in bytes per second.
	heartbeatBudget = 4500
	// heartbeatShare is the part of the control budget that they should stay under, as far as they can.
	heartbeatShare = 2
)

// remoteTimes is how much longer a host of another region may be silent than one of the own.
const remoteTimes = 3

// buildRequests joins the parts that a request passes.
func (e *Entry) buildRequests() {
	s := e.settings
	e.sender = sender.New(
		sender.WithAges(s.ProofAge, s.ReuseAge),
		sender.WithShare(func() int { return e.assigner.Sharers(e.clock()) }),
		sender.WithLostHook(e.lost))
	e.coordinator = coordinator.New(s.HostID, s.Region, e.links, e.places, e.assigner, e.sender,
		coordinator.WithOwnerTimeout(s.OwnerTimeout),
		coordinator.WithOrphanFor(lender.ColdValidity+s.ColdDeadline),
		coordinator.WithColdRight(e.coldRight),
		coordinator.WithShort(e.governor.IsShort),
		coordinator.WithCounter(e.meter.Count))
	e.prober = prober.New(e.sender, e.coordinator, e.governor, s.ProbeInterval, e.clock, e.meter.Count)
	e.dispatcher = e.newDispatcher()
	e.callers = caller.New(e.places.Classifier, e.dispatcher,
		caller.WithMaxBody(s.MaxBody), caller.WithMaxRequests(s.MaxRequests),
		caller.WithScreen(screener.IsAmbiguous), caller.WithCounter(e.meter.CountRequest))
}

func (e *Entry) newDispatcher() *dispatcher.Dispatcher {
	options := []dispatcher.Option{dispatcher.WithCounter(e.meter.Count), dispatcher.WithColdDeadline(e.settings.ColdDeadline)}
	switch e.settings.Policy {
	case settings.PolicyTwoChoices:
		return dispatcher.New(chooser.New(e.places), e.sender, e.places, options...)
	case settings.PolicyRandom:
		return dispatcher.New(chooser.New(e.places, chooser.WithChoices(1)), e.sender, e.places, options...)
	default:
		options = append(options,
			dispatcher.WithHedges(delayer.New(), allowance.New(e.settings.HedgeShare)),
			dispatcher.WithRetries(allowance.New(e.settings.RetryShare)))
		return dispatcher.New(e.coordinator, e.sender, e.places, options...)
	}
}

// handle takes in a frame from another entry host.
func (e *Entry) handle(from string, frame *wire.Frame) {
	switch frame.GetBody().(type) {
	case *wire.Frame_Heartbeat:
		e.heartbeats.Handle(from, frame)
	case *wire.Frame_SnapshotRequest, *wire.Frame_SnapshotReply:
		e.relayer.Handle(from, frame)
	default:
		e.coordinator.Receive(e.clock(), from, frame)
	}
}

func (e *Entry) linked(peer string, up bool) {
	if up {
		e.coordinator.PeerUp(e.clock(), peer)
		return
	}
	e.coordinator.PeerDown(e.clock(), peer)
}

// coldRight returns until when this host may give work to the cold endpoints of a group that it owns.
func (e *Entry) coldRight(now time.Time, g group.Group, needed bool) time.Time {
	return e.warden.Right(now, e.assigner.Shard(g), needed)
}

// lost takes in that an endpoint closed a connection unasked.
func (e *Entry) lost(address string) {
	if h, listed := e.places.Directory().GetEndpointByAddress(address); listed {
		e.coordinator.Lost(e.clock(), h)
	}
}

func (e *Entry) setDirectory(d *directory.Directory) {
	e.places.SetDirectory(d)
	e.heartbeats.SetHosts(d.Entries())
	e.sender.Retain(d.Endpoints())
	e.coordinator.Update(e.clock())
}

func (e *Entry) setSnapshot(s snapshot.Snapshot) {
	e.places.SetSnapshot(s)
	e.coordinator.Update(e.clock())
	e.logger.Info("configuration in force", zap.Int64("revision", s.Revision), zap.String("change_id", s.ChangeID))
}

// ready returns nil when the host may be given work, else what it lacks.
func (e *Entry) ready() error {
	_, configured := e.places.Snapshot()
	switch {
	case e.draining.Load():
		return errDraining
	case !configured:
		return errNoConfiguration
	case len(e.places.Groups()) == 0:
		return errNoEndpoints
	case e.settings.Policy == settings.PolicyOwner && !e.roster.Fresh(e.clock()):
		return errAlone
	default:
		return nil
	}
}
