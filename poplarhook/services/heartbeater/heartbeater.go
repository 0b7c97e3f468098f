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

// tickInterval is the step of the heartbeats and of the roster's time.
const tickInterval = 50 * time.Millisecond

// Links moves frames to other entry hosts.
type Links interface {
	Send(hostID string, frame *wire.Frame) error
	SetPeers(peers []host.Host)
	Connected() []string
	Greeting(hostID string) *wire.Hello
}

// Option changes how a Heartbeater is built.
type Option func(*Heartbeater)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(h *Heartbeater) { h.clock = clock }
}

// WithLogger sets where hosts that come and go are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(h *Heartbeater) { h.logger = logger }
}

// WithScheduler sets what decides when heartbeats go out.
func WithScheduler(s *scheduler.Scheduler) Option {
	return func(h *Heartbeater) { h.scheduler = s }
}

// Heartbeater keeps the roster and the peers of the links up to date.
type Heartbeater struct {
	roster   *roster.Roster
	links    Links
	peerlist *peerlist.Peerlist
	clock    func() time.Time
	logger   *zap.Logger

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	live      []string
	peers     []host.Host
}

// New returns a Heartbeater of the host that the roster names as its own.
func New(r *roster.Roster, links Links, options ...Option) *Heartbeater {
	self := r.Self()
	h := &Heartbeater{
		roster:    r,
		links:     links,
		peerlist:  peerlist.New(self.ID),
		clock:     time.Now,
		logger:    zap.NewNop(),
		scheduler: scheduler.New(self),
		live:      []string{self.ID},
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

// SetHosts takes over the platform's host list.
func (h *Heartbeater) SetHosts(hosts []host.Host) {
	connected := h.links.Connected()
	for _, id := range h.peerlist.SetList(hosts) {
		if !slices.Contains(connected, id) {
			h.roster.Forget(id)
		}
	}
}

// Handle takes a heartbeat of the host; it ignores every other frame.
func (h *Heartbeater) Handle(from string, frame *wire.Frame) {
	beat, greeting := frame.GetHeartbeat(), h.links.Greeting(from)
	if beat == nil || greeting == nil {
		return
	}
	now := h.clock()
	m := memberOf(greeting)
	h.peerlist.Mention(now, hostOf(m))
	h.roster.Hear(now, m, beat.GetRevision(), beat.GetLeaving())
	for _, named := range beat.GetMembers() {
		h.peerlist.Mention(now, namedHost(named))
	}
}

// Leave says that this host is leaving, and tells all peers at once.
func (h *Heartbeater) Leave() {
	h.roster.Leave()
	h.logger.Info("leaving")
	for _, id := range h.links.Connected() {
		h.send(id, &wire.Heartbeat{})
	}
}

// Peers returns the hosts that there should be links to, sorted by id.
func (h *Heartbeater) Peers() []host.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.peers)
}

// PlannedBytes returns the bytes per second that heartbeats to all linked hosts cost.
func (h *Heartbeater) PlannedBytes() int {
	linked := h.linked()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scheduler.Planned(linked)
}

func (h *Heartbeater) step(now time.Time) {
	h.roster.Tick(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteChanges(now)
	peers := h.peerlist.Peers(now)
	if !slices.Equal(peers, h.peers) {
		h.peers = peers
		h.links.SetPeers(peers)
	}
	live := h.roster.Live(now)
	for _, peer := range h.scheduler.Due(now, h.linked()) {
		beat := &wire.Heartbeat{}
		if named, ok := h.scheduler.Name(now, peer, live); ok {
			beat.Members = []*wire.Member{wireMember(named)}
		}
		h.send(peer.ID, beat)
	}
}

// send completes the heartbeat with this host's own state. A link that is gone or full gets
// the next one, so an error needs no answer.
func (h *Heartbeater) send(hostID string, beat *wire.Heartbeat) {
	self := h.roster.Self()
	beat.Revision, beat.Leaving = self.Revision, self.Leaving
	_ = h.links.Send(hostID, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: beat}})
}

// noteChanges logs the hosts that came and went since the last step.
func (h *Heartbeater) noteChanges(now time.Time) {
	live := make([]string, 0, len(h.live))
	for _, m := range h.roster.Live(now) {
		live = append(live, m.ID)
		if !slices.Contains(h.live, m.ID) {
			h.logger.Info("host live", zap.String("host_id", m.ID))
		}
	}
	for _, id := range h.live {
		if !slices.Contains(live, id) {
			h.logger.Info("host lost", zap.String("host_id", id))
		}
	}
	h.live = live
}

func (h *Heartbeater) linked() []member.Member {
	connected := h.links.Connected()
	linked := make([]member.Member, 0, len(connected))
	for _, id := range connected {
		if greeting := h.links.Greeting(id); greeting != nil {
			linked = append(linked, memberOf(greeting))
		}
	}
	return linked
}
