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
	// beatBytes is a heartbeat without a member, with the framing of the link.
	beatBytes = 19
	// keepaliveBytes is the empty frame that a link sends between two heartbeats of another region.
	keepaliveBytes = 13
	// memberBytes is a member with addresses and names of common length.
	memberBytes = 80
	// minMemberRate and maxMemberRate bound the bytes per second spent on members.
	minMemberRate = 200
	maxMemberRate = 1000
	// underShare keeps a peer's share of the members a little under an equal one, so that peers
	// with frequent heartbeats leave room for the others.
	underShare = 0.9
)

// Option changes how a Scheduler is built.
type Option func(*Scheduler)

// WithInterval sets the time between heartbeats to a host of the own region.
func WithInterval(interval time.Duration) Option {
	return func(s *Scheduler) { s.interval = interval }
}

// WithRemoteInterval sets the time between heartbeats to a host of another region.
func WithRemoteInterval(interval time.Duration) Option {
	return func(s *Scheduler) { s.remoteInterval = interval }
}

// WithBudget sets the bytes per second that heartbeats should cost this host at most.
func WithBudget(bytesPerSecond int) Option {
	return func(s *Scheduler) { s.budget = bytesPerSecond }
}

// WithOverhead sets the bytes that encryption adds to each frame.
func WithOverhead(bytes int) Option {
	return func(s *Scheduler) { s.overhead = bytes }
}

// Scheduler holds when each peer is due next; it is not safe for concurrent use.
type Scheduler struct {
	self           member.Member
	interval       time.Duration
	remoteInterval time.Duration
	budget         int
	overhead       int
	peers          map[string]*schedule
	// credit is the bytes that may be spent on members, as of earnedAt.
	credit   float64
	earnedAt time.Time
	// share is the least time between two members for one peer.
	share time.Duration
}

type schedule struct {
	beatAt time.Time
	// named is the id of the member that the peer was told last, at namedAt.
	named   string
	namedAt time.Time
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

// Due returns those peers that get a heartbeat now and plans their next. A new peer is due at
// once; those come first that were told of a member the longest ago.
func (s *Scheduler) Due(now time.Time, peers []member.Member) []member.Member {
	s.prune(peers)
	s.earn(now, peers)
	var due []member.Member
	for _, peer := range peers {
		plan := s.peers[peer.ID]
		if plan == nil {
			plan = &schedule{beatAt: now.Add(-s.phase(peer))}
			s.peers[peer.ID] = plan
		}
		if now.Before(plan.beatAt) {
			continue
		}
		due = append(due, peer)
		plan.beatAt = plan.beatAt.Add(s.intervalOf(peer))
		if !now.Before(plan.beatAt) {
			plan.beatAt = now.Add(s.intervalOf(peer))
		}
	}
	slices.SortStableFunc(due, func(a, b member.Member) int {
		return s.peers[a.ID].namedAt.Compare(s.peers[b.ID].namedAt)
	})
	return due
}

// Name returns the next live host that the peer should be told of, if the budget has room for
// one. Each sender starts at another place in the list, so that a receiver soon hears of all.
func (s *Scheduler) Name(now time.Time, peer member.Member, live []member.Member) (member.Member, bool) {
	plan := s.peers[peer.ID]
	if plan == nil || s.credit < memberBytes || now.Sub(plan.namedAt) < s.share {
		return member.Member{}, false
	}
	others := slices.DeleteFunc(slices.Clone(live), func(m member.Member) bool { return m.ID == peer.ID })
	if len(others) == 0 {
		return member.Member{}, false
	}
	if plan.named == "" {
		start := xxhash.Sum64String(s.self.ID+"/"+peer.ID) % uint64(len(others))
		plan.named = others[start].ID
	}
	at := slices.IndexFunc(others, func(m member.Member) bool { return m.ID > plan.named })
	next := others[max(at, 0)]
	plan.named, plan.namedAt = next.ID, now
	s.credit -= memberBytes
	return next, true
}

// earn adds to the credit what the time since the last call is worth, at most one second's worth.
func (s *Scheduler) earn(now time.Time, peers []member.Member) {
	rate := float64(min(max(s.budget-s.Planned(peers), minMemberRate), maxMemberRate))
	if !s.earnedAt.IsZero() {
		s.credit = min(s.credit+rate*now.Sub(s.earnedAt).Seconds(), rate)
	}
	s.earnedAt = now
	seconds := underShare * float64(len(peers)*memberBytes) / rate
	s.share = time.Duration(seconds * float64(time.Second))
}

// Planned returns the bytes per second that heartbeats to the peers cost, members aside.
func (s *Scheduler) Planned(peers []member.Member) int {
	total := 0.0
	for _, peer := range peers {
		total += float64(beatBytes+s.overhead) / s.intervalOf(peer).Seconds()
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

// phase spreads the peers over their interval, as many become known at the same moment.
func (s *Scheduler) phase(peer member.Member) time.Duration {
	return time.Duration(xxhash.Sum64String(peer.ID) % uint64(s.intervalOf(peer)))
}

func (s *Scheduler) prune(peers []member.Member) {
	if len(s.peers) <= len(peers) {
		return
	}
	for id := range s.peers {
		if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.ID == id }) {
			delete(s.peers, id)
		}
	}
}
