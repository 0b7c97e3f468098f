package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarhook.example/poplarhook/models/member"
)

const (
	defaultInterval       = 250 * time.Millisecond
	defaultRemoteInterval = time.Second
	defaultBudget         = 4500
	// heartbeatBytes is the size of a heartbeat without a member, including the framing of the link.
	heartbeatBytes = 19
	// keepaliveBytes is the size of the empty frame that a link to another region sends between two heartbeats.
	keepaliveBytes = 13
	// memberBytes is the size of a member with addresses and names of typical length.
	memberBytes = 80
	// minMemberRate and maxMemberRate bound the bytes per second that members in heartbeats may take.
	minMemberRate = 200
	maxMemberRate = 1000
	// memberIntervalFactor sets the minimum time between two members for the same peer a little below the time that an
	// equal share of the rate gives. Without this minimum, peers with frequent heartbeats would leave no room for the
	// others.
	memberIntervalFactor = 0.9
)

// Option changes how a Scheduler is built.
type Option func(*Scheduler)

// WithInterval sets the time between heartbeats to a host of the same region.
func WithInterval(interval time.Duration) Option {
	return func(s *Scheduler) { s.interval = interval }
}

// WithRemoteInterval sets the time between heartbeats to a host of another region.
func WithRemoteInterval(interval time.Duration) Option {
	return func(s *Scheduler) { s.remoteInterval = interval }
}

// WithBudget sets the limit in bytes per second for the heartbeats that this host sends.
func WithBudget(bytesPerSecond int) Option {
	return func(s *Scheduler) { s.budget = bytesPerSecond }
}

// WithOverhead sets the number of bytes that encryption adds to each frame.
func WithOverhead(bytes int) Option {
	return func(s *Scheduler) { s.overhead = bytes }
}

// Scheduler holds when each peer is due for its next heartbeat. A heartbeat may hold a member: the state of another
// live host, for the peer to learn of. It is not safe for concurrent use.
type Scheduler struct {
	self           member.Member
	interval       time.Duration
	remoteInterval time.Duration
	budget         int
	overhead       int
	peers          map[string]*schedule
	// memberBudget is the number of bytes that may be spent on members, as of refilledAt.
	memberBudget float64
	refilledAt   time.Time
	// memberInterval is the minimum time between two members for the same peer.
	memberInterval time.Duration
}

type schedule struct {
	nextHeartbeatAt time.Time
	// lastMemberID is the id of the member that was last sent to the peer, at lastMemberAt.
	lastMemberID string
	lastMemberAt time.Time
}

// New returns a Scheduler for the host.
func New(self member.Member, options ...Option) *Scheduler {
	s := &Scheduler{
		self:           self,
		interval:       defaultInterval,
		remoteInterval: defaultRemoteInterval,
		budget:         defaultBudget,
		peers:          map[string]*schedule{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Due returns the peers that get a heartbeat now and schedules their next one. A new peer is due at
// once. The peers that were sent a member the longest time ago come first.
func (s *Scheduler) Due(now time.Time, peers []member.Member) []member.Member {
	s.dropUnlisted(peers)
	s.refillMemberBudget(now, peers)
	var due []member.Member
	for _, peer := range peers {
		entry := s.peers[peer.ID]
		if entry == nil {
			entry = &schedule{nextHeartbeatAt: now.Add(-s.phaseOf(peer))}
			s.peers[peer.ID] = entry
		}
		if now.Before(entry.nextHeartbeatAt) {
			continue
		}
		due = append(due, peer)
		entry.nextHeartbeatAt = entry.nextHeartbeatAt.Add(s.intervalOf(peer))
		if !now.Before(entry.nextHeartbeatAt) {
			entry.nextHeartbeatAt = now.Add(s.intervalOf(peer))
		}
	}
	slices.SortStableFunc(due, func(a, b member.Member) int {
		return s.peers[a.ID].lastMemberAt.Compare(s.peers[b.ID].lastMemberAt)
	})
	return due
}

// NextMember returns the next live host whose state the peer should be sent, if the member budget has room for one
// and the peer's last one was sent at least memberInterval ago. Each sender starts at a different position in the
// list of live hosts, so that a receiver soon learns of all hosts. The returned host is recorded as the last one sent
// to the peer, and its bytes are taken from the member budget.
func (s *Scheduler) NextMember(now time.Time, peer member.Member, live []member.Member) (member.Member, bool) {
	entry := s.peers[peer.ID]
	if entry == nil || s.memberBudget < memberBytes || now.Sub(entry.lastMemberAt) < s.memberInterval {
		return member.Member{}, false
	}
	others := slices.DeleteFunc(slices.Clone(live), func(m member.Member) bool { return m.ID == peer.ID })
	if len(others) == 0 {
		return member.Member{}, false
	}
	if entry.lastMemberID == "" {
		start := xxhash.Sum64String(s.self.ID+"/"+peer.ID) % uint64(len(others))
		entry.lastMemberID = others[start].ID
	}
	at := slices.IndexFunc(others, func(m member.Member) bool { return m.ID > entry.lastMemberID })
	next := others[max(at, 0)]
	entry.lastMemberID, entry.lastMemberAt = next.ID, now
	s.memberBudget -= memberBytes
	return next, true
}

// refillMemberBudget adds the bytes earned since the last call to the member budget, which holds at most one second's
// worth, and updates the minimum time between two members for the same peer.
func (s *Scheduler) refillMemberBudget(now time.Time, peers []member.Member) {
	rate := float64(min(max(s.budget-s.HeartbeatRate(peers), minMemberRate), maxMemberRate))
	if !s.refilledAt.IsZero() {
		s.memberBudget = min(s.memberBudget+rate*now.Sub(s.refilledAt).Seconds(), rate)
	}
	s.refilledAt = now
	seconds := memberIntervalFactor * float64(len(peers)*memberBytes) / rate
	s.memberInterval = time.Duration(seconds * float64(time.Second))
}

// HeartbeatRate returns the bytes per second that heartbeats to the peers need, without the members in them.
func (s *Scheduler) HeartbeatRate(peers []member.Member) int {
	total := 0.0
	for _, peer := range peers {
		total += float64(heartbeatBytes+s.overhead) / s.intervalOf(peer).Seconds()
		if peer.Region != s.self.Region {
			total += float64(keepaliveBytes+s.overhead) / s.remoteInterval.Seconds()
		}
	}
	return int(total)
}

func (s *Scheduler) intervalOf(peer member.Member) time.Duration {
	if peer.Region == s.self.Region {
		return s.interval
	}
	return s.remoteInterval
}

// phaseOf returns the offset of a peer within the heartbeat interval. It spreads the heartbeats over time, as many
// peers become known at the same moment.
func (s *Scheduler) phaseOf(peer member.Member) time.Duration {
	return time.Duration(xxhash.Sum64String(peer.ID) % uint64(s.intervalOf(peer)))
}

// dropUnlisted removes the schedules of hosts that are no longer among the peers.
func (s *Scheduler) dropUnlisted(peers []member.Member) {
	if len(s.peers) <= len(peers) {
		return
	}
	for id := range s.peers {
		if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.ID == id }) {
			delete(s.peers, id)
		}
	}
}
