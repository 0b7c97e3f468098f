package pacer

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

// Option changes how a Pacer is built.
type Option func(*Pacer)

// WithInterval sets the time between heartbeats to a host of the own region.
func WithInterval(interval time.Duration) Option {
	return func(p *Pacer) { p.interval = interval }
}

// WithRemoteInterval sets the time between heartbeats to a host of another region.
func WithRemoteInterval(interval time.Duration) Option {
	return func(p *Pacer) { p.remoteInterval = interval }
}

// WithBudget sets the bytes per second that heartbeats should cost this host at most.
func WithBudget(bytesPerSecond int) Option {
	return func(p *Pacer) { p.budget = bytesPerSecond }
}

// WithOverhead sets the bytes that encryption adds to each frame.
func WithOverhead(bytes int) Option {
	return func(p *Pacer) { p.overhead = bytes }
}

// Pacer holds when each peer is due next; it is not safe for concurrent use.
type Pacer struct {
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

// New returns a Pacer for the host.
func New(self member.Member, options ...Option) *Pacer {
	p := &Pacer{
		self:           self,
		interval:       defaultInterval,
		remoteInterval: defaultRemoteInterval,
		budget:         defaultBudget,
		peers:          map[string]*schedule{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Due returns those peers that get a heartbeat now and plans their next. A new peer is due at
// once; those come first that were told of a member the longest ago.
func (p *Pacer) Due(now time.Time, peers []member.Member) []member.Member {
	p.prune(peers)
	p.earn(now, peers)
	var due []member.Member
	for _, peer := range peers {
		s := p.peers[peer.ID]
		if s == nil {
			s = &schedule{beatAt: now}
			p.peers[peer.ID] = s
		}
		if now.Before(s.beatAt) {
			continue
		}
		due = append(due, peer)
		s.beatAt = s.beatAt.Add(p.intervalOf(peer))
		if !now.Before(s.beatAt) {
			s.beatAt = now.Add(p.intervalOf(peer))
		}
	}
	slices.SortStableFunc(due, func(a, b member.Member) int {
		return p.peers[a.ID].namedAt.Compare(p.peers[b.ID].namedAt)
	})
	return due
}

// Name returns the next live host that the peer should be told of, if the budget has room for
// one. Each sender starts at another place in the list, so that a receiver soon hears of all.
func (p *Pacer) Name(now time.Time, peer member.Member, live []member.Member) (member.Member, bool) {
	s := p.peers[peer.ID]
	if s == nil || p.credit < memberBytes || now.Sub(s.namedAt) < p.share {
		return member.Member{}, false
	}
	others := slices.DeleteFunc(slices.Clone(live), func(m member.Member) bool { return m.ID == peer.ID })
	if len(others) == 0 {
		return member.Member{}, false
	}
	if s.named == "" {
		start := xxhash.Sum64String(p.self.ID+"/"+peer.ID) % uint64(len(others))
		s.named = others[start].ID
	}
	at := slices.IndexFunc(others, func(m member.Member) bool { return m.ID > s.named })
	next := others[max(at, 0)]
	s.named, s.namedAt = next.ID, now
	p.credit -= memberBytes
	return next, true
}

// earn adds to the credit what the time since the last call is worth, at most one second's worth.
func (p *Pacer) earn(now time.Time, peers []member.Member) {
	rate := float64(min(max(p.budget-p.Planned(peers), minMemberRate), maxMemberRate))
	if !p.earnedAt.IsZero() {
		p.credit = min(p.credit+rate*now.Sub(p.earnedAt).Seconds(), rate)
	}
	p.earnedAt = now
	seconds := underShare * float64(len(peers)*memberBytes) / rate
	p.share = time.Duration(seconds * float64(time.Second))
}

// Planned returns the bytes per second that heartbeats to the peers cost, members aside.
func (p *Pacer) Planned(peers []member.Member) int {
	total := 0.0
	for _, peer := range peers {
		total += float64(beatBytes+p.overhead) / p.intervalOf(peer).Seconds()
		if peer.Region != p.self.Region {
			total += float64(keepaliveBytes+p.overhead) / p.remoteInterval.Seconds()
		}
	}
	return int(total)
}

func (p *Pacer) intervalOf(peer member.Member) time.Duration {
	if peer.Region == p.self.Region {
		return p.interval
	}
	return p.remoteInterval
}

func (p *Pacer) prune(peers []member.Member) {
	if len(p.peers) <= len(peers) {
		return
	}
	for id := range p.peers {
		if !slices.ContainsFunc(peers, func(m member.Member) bool { return m.ID == id }) {
			delete(p.peers, id)
		}
	}
}
