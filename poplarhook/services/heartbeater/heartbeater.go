package heartbeater

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/peerlist"
	"poplarhook.example/poplarhook/models/roster"
	"poplarhook.example/poplarhook/models/scheduler"
)

// tickInterval is the time between two steps, in which due heartbeats are sent and the roster's time is advanced.
const tickInterval = 50 * time.Millisecond

// Links sends frames to other entry hosts.
type Links interface {
	Send(hostID string, frame *wire.Frame) error
	SetPeers(peers []host.Host)
	Connected() []string
	Hello(hostID string) *wire.Hello
}

// Option changes how a Heartbeater is built.
type Option func(*Heartbeater)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(h *Heartbeater) { h.clock = clock }
}

// WithLogger sets the logger for hosts that become live or are lost.
func WithLogger(logger *zap.Logger) Option {
	return func(h *Heartbeater) { h.logger = logger }
}

// WithScheduler sets the scheduler that decides when heartbeats are sent and which members they name.
func WithScheduler(s *scheduler.Scheduler) Option {
	return func(h *Heartbeater) { h.scheduler = s }
}

// Heartbeater keeps the roster and the list of hosts to link with up to date.
type Heartbeater struct {
	roster   *roster.Roster
	links    Links
	peerlist *peerlist.Peerlist
	clock    func() time.Time
	logger   *zap.Logger

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	liveIDs   []string
	peers     []host.Host
}

// New returns a Heartbeater for the host that is the roster's own.
func New(r *roster.Roster, links Links, options ...Option) *Heartbeater {
	self := r.Self()
	h := &Heartbeater{
		roster:    r,
		links:     links,
		peerlist:  peerlist.New(self.ID),
		clock:     time.Now,
		logger:    zap.NewNop(),
		scheduler: scheduler.New(self),
		liveIDs:   []string{self.ID},
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Run sends heartbeats until the context ends; the channel then carries nil and closes.
func (h *Heartbeater) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			h.step(h.clock())
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

// SetHosts replaces the platform's host list. Hosts that it no longer lists are removed from the roster, unless a link
// with them is up.
func (h *Heartbeater) SetHosts(hosts []host.Host) {
	connected := h.links.Connected()
	for _, id := range h.peerlist.SetList(hosts) {
		if !slices.Contains(connected, id) {
			h.roster.Remove(id)
		}
	}
}

// Handle records a heartbeat that was received from the given host, and the members that the heartbeat names; it
// ignores other frames.
func (h *Heartbeater) Handle(from string, frame *wire.Frame) {
	heartbeat, hello := frame.GetHeartbeat(), h.links.Hello(from)
	if heartbeat == nil || hello == nil {
		return
	}
	now := h.clock()
	m := memberFromHello(hello)
	h.peerlist.AddReported(now, hostFromMember(m))
	h.roster.RecordHeartbeat(now, m, heartbeat.GetRevision(), heartbeat.GetLeaving())
	for _, named := range heartbeat.GetMembers() {
		h.peerlist.AddReported(now, hostFromWire(named))
	}
}

// Leave marks this host as leaving and notifies all linked hosts at once.
func (h *Heartbeater) Leave() {
	h.roster.Leave()
	h.logger.Info("this host is leaving")
	for _, id := range h.links.Connected() {
		h.send(id, &wire.Heartbeat{})
	}
}

// Peers returns the hosts that this host should have links with, sorted by id.
func (h *Heartbeater) Peers() []host.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.peers)
}

// PlannedBytes returns the planned rate of heartbeats to all linked hosts, in bytes per second.
func (h *Heartbeater) PlannedBytes() int {
	linked := h.linkedMembers()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.HeartbeatRate(linked)
}

// step advances the roster's time, updates the hosts to link with and sends the heartbeats that are due.
func (h *Heartbeater) step(now time.Time) {
	h.roster.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logLiveChanges(now)
	peers := h.peerlist.Peers(now)
	if !slices.Equal(peers, h.peers) {
		h.peers = peers
		h.links.SetPeers(peers)
	}
	live := h.roster.Live(now)
	for _, peer := range h.scheduler.Due(now, h.linkedMembers()) {
		heartbeat := &wire.Heartbeat{}
		if named, ok := h.scheduler.NextMember(now, peer, live); ok {
			heartbeat.Members = []*wire.Member{memberToWire(named)}
		}
		h.send(peer.ID, heartbeat)
	}
}

// send adds this host's own state to the heartbeat and sends it. An error is ignored: a peer whose link is down or
// full gets the next heartbeat.
func (h *Heartbeater) send(hostID string, heartbeat *wire.Heartbeat) {
	self := h.roster.Self()
	heartbeat.Revision, heartbeat.Leaving = self.Revision, self.Leaving
	_ = h.links.Send(hostID, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: heartbeat}})
}

// logLiveChanges logs the hosts that became live or were lost since the last step.
func (h *Heartbeater) logLiveChanges(now time.Time) {
	live := make([]string, 0, len(h.liveIDs))
	for _, m := range h.roster.Live(now) {
		live = append(live, m.ID)
		if !slices.Contains(h.liveIDs, m.ID) {
			h.logger.Info("host became live", zap.String("host_id", m.ID))
		}
	}
	for _, id := range h.liveIDs {
		if !slices.Contains(live, id) {
			h.logger.Info("host lost", zap.String("host_id", id))
		}
	}
	h.liveIDs = live
}

// linkedMembers returns the hosts with which a link is up, as their hello frames describe them.
func (h *Heartbeater) linkedMembers() []member.Member {
	connected := h.links.Connected()
	linked := make([]member.Member, 0, len(connected))
	for _, id := range connected {
		if hello := h.links.Hello(id); hello != nil {
			linked = append(linked, memberFromHello(hello))
		}
	}
	return linked
}
