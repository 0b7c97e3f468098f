package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"poplarhook.example/poplarhook/models/member"
)

const (
	defaultTimeout       = time.Second
	defaultRemoteTimeout = 3 * time.Second
	// forgetAfter is how long a silent host is remembered, for its revision and whether it left.
	forgetAfter = 10 * time.Minute
)

// Option changes how a Roster is built.
type Option func(*Roster)

// WithTimeout sets how long a host of the own region stays live after a heartbeat.
func WithTimeout(timeout time.Duration) Option {
	return func(r *Roster) { r.timeout = timeout }
}

// WithRemoteTimeout sets how long a host of another region stays live after a heartbeat.
func WithRemoteTimeout(timeout time.Duration) Option {
	return func(r *Roster) { r.remoteTimeout = timeout }
}

// Roster is the view that one host has of all; it is safe for concurrent use.
type Roster struct {
	timeout       time.Duration
	remoteTimeout time.Duration

	mu       sync.Mutex
	self     member.Member
	peers    map[string]record
	lastTick time.Time
	// doubtedSince is when the view was last found out of date.
	doubtedSince time.Time
	// awaited holds the peers that were live before that.
	awaited map[string]struct{}
}

type record struct {
	member.Member
	heard time.Time
}

// New returns a Roster that knows only self; its view counts as out of date for one timeout from now.
func New(now time.Time, self member.Member, options ...Option) *Roster {
	r := &Roster{
		timeout:       defaultTimeout,
		remoteTimeout: defaultRemoteTimeout,
		self:          self,
		peers:         map[string]record{},
		lastTick:      now,
		doubtedSince:  now,
		awaited:       map[string]struct{}{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Hear records a heartbeat; an incarnation that was heard leaving stays so.
func (r *Roster) Hear(now time.Time, m member.Member, revision int64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.ID == r.self.ID {
		return
	}
	r.advance(now)
	old, known := r.peers[m.ID]
	if known && old.Incarnation == m.Incarnation {
		leaving = leaving || old.Leaving
		revision = max(revision, old.Revision)
	}
	r.peers[m.ID] = record{Member: m.WithRevision(revision).WithLeaving(leaving), heard: now}
}

// Tick says that time has passed; a gap longer than the timeout means that this host was paused.
func (r *Roster) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	maps.DeleteFunc(r.peers, func(_ string, peer record) bool { return now.Sub(peer.heard) > forgetAfter })
}

// Forget removes a host that the platform lists no longer.
func (r *Roster) Forget(hostID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, hostID)
	delete(r.awaited, hostID)
}

// SetRevision records the configuration that this host runs.
func (r *Roster) SetRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithRevision(revision)
}

// Leave records that this host is leaving.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithLeaving(true)
}

// Self returns this host as it describes itself to others.
func (r *Roster) Self() member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Live returns this host and those heard within their timeout, sorted by id.
func (r *Roster) Live(now time.Time) []member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.livePeers(now), r.self).sorted()
}

// Candidates returns the live hosts that may own work, which those leaving may not, sorted by id.
func (r *Roster) Candidates(now time.Time) []member.Member {
	return slices.DeleteFunc(r.Live(now), func(m member.Member) bool { return m.Leaving })
}

// Leaving returns the live hosts that are leaving, sorted by id.
func (r *Roster) Leaving(now time.Time) []member.Member {
	return slices.DeleteFunc(r.Live(now), func(m member.Member) bool { return !m.Leaving })
}

// Fresh reports whether the view can be trusted. After a pause it can't until a whole timeout
// has passed, as heartbeats that waited in buffers say nothing of now, and until some host of
// those that were live before the pause, or another, is heard.
func (r *Roster) Fresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPause(now) || now.Sub(r.doubtedSince) < r.timeout {
		return false
	}
	return len(r.awaited) == 0 || len(r.livePeers(now)) > 0
}

func (r *Roster) isPause(now time.Time) bool {
	return now.Sub(r.lastTick) > r.timeout
}

// advance notes the time and, after a pause, doubts the view. The caller holds the lock.
func (r *Roster) advance(now time.Time) {
	if r.isPause(now) {
		for _, m := range r.livePeers(r.lastTick) {
			r.awaited[m.ID] = struct{}{}
		}
		r.doubtedSince = now
	}
	if now.Sub(r.doubtedSince) >= r.timeout && len(r.livePeers(now)) > 0 {
		clear(r.awaited)
	}
	if now.After(r.lastTick) {
		r.lastTick = now
	}
}

func (r *Roster) livePeers(now time.Time) memberList {
	live := make(memberList, 0, len(r.peers)+1)
	for _, peer := range r.peers {
		if now.Sub(peer.heard) < r.timeoutOf(peer.Member) {
			live = append(live, peer.Member)
		}
	}
	return live
}

func (r *Roster) timeoutOf(m member.Member) time.Duration {
	if m.Region == r.self.Region {
		return r.timeout
	}
	return r.remoteTimeout
}

type memberList []member.Member

func (l memberList) sorted() []member.Member {
	slices.SortFunc(l, func(a, b member.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
