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
	// silentRetention is how long the state of a silent host is kept, for its revision and whether it is leaving.
	silentRetention = 10 * time.Minute
)

// Option changes how a Roster is built.
type Option func(*Roster)

// WithTimeout sets how long a host of the same region stays live after a heartbeat.
func WithTimeout(timeout time.Duration) Option {
	return func(r *Roster) { r.timeout = timeout }
}

// WithRemoteTimeout sets how long a host of another region stays live after a heartbeat.
func WithRemoteTimeout(timeout time.Duration) Option {
	return func(r *Roster) { r.remoteTimeout = timeout }
}

// Roster is one host's view of the liveness of all entry hosts. It is safe for concurrent use.
type Roster struct {
	timeout       time.Duration
	remoteTimeout time.Duration

	mu       sync.Mutex
	self     member.Member
	peers    map[string]record
	lastTick time.Time
	// staleSince is when this view of the hosts was last found to be out of date.
	staleSince time.Time
	// expectedPeers holds the peers that were live before staleSince. It is cleared when the view is current again.
	expectedPeers map[string]struct{}
}

type record struct {
	member.Member
	heartbeatAt time.Time
}

// New returns a Roster that knows only self. Its view counts as out of date until one timeout has passed.
func New(now time.Time, self member.Member, options ...Option) *Roster {
	r := &Roster{
		timeout:       defaultTimeout,
		remoteTimeout: defaultRemoteTimeout,
		self:          self,
		peers:         map[string]record{},
		lastTick:      now,
		staleSince:    now,
		expectedPeers: map[string]struct{}{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// RecordHeartbeat records a heartbeat of the host m. Once an incarnation has reported that it is leaving, it stays
// leaving.
func (r *Roster) RecordHeartbeat(now time.Time, m member.Member, revision int64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.ID == r.self.ID {
		return
	}
	r.recordTick(now)
	previous, known := r.peers[m.ID]
	if known && previous.Incarnation == m.Incarnation {
		leaving = leaving || previous.Leaving
		revision = max(revision, previous.Revision)
	}
	r.peers[m.ID] = record{Member: m.WithRevision(revision).WithLeaving(leaving), heartbeatAt: now}
}

// Tick records the current time and must be called regularly: a gap longer than the timeout means that this host was
// paused. It also removes hosts that have been silent for too long.
func (r *Roster) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordTick(now)
	maps.DeleteFunc(r.peers, func(_ string, peer record) bool { return now.Sub(peer.heartbeatAt) > silentRetention })
}

// Remove drops a host that the platform no longer lists.
func (r *Roster) Remove(hostID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, hostID)
	delete(r.expectedPeers, hostID)
}

// SetRevision sets the revision of the configuration that this host runs.
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

// Self returns this host's own state, as it reports it to other hosts.
func (r *Roster) Self() member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Live returns this host and the hosts whose last heartbeat is within their timeout, sorted by id.
func (r *Roster) Live(now time.Time) []member.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(r.livePeers(now), r.self).sorted()
}

// Candidates returns the live hosts that may own groups, sorted by id. Hosts that are leaving may not own any.
func (r *Roster) Candidates(now time.Time) []member.Member {
	return slices.DeleteFunc(r.Live(now), func(m member.Member) bool { return m.Leaving })
}

// Leaving returns the live hosts that are leaving, sorted by id.
func (r *Roster) Leaving(now time.Time) []member.Member {
	return slices.DeleteFunc(r.Live(now), func(m member.Member) bool { return !m.Leaving })
}

// IsFresh reports whether this view of the hosts is current. After a pause of this host it becomes current only when
// a full timeout has passed, because heartbeats that were buffered during the pause do not show which hosts are live
// now. If hosts were live before the pause, at least one host must also be live now.
func (r *Roster) IsFresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasPausedSinceTick(now) || now.Sub(r.staleSince) < r.timeout {
		return false
	}
	return len(r.expectedPeers) == 0 || len(r.livePeers(now)) > 0
}

// hasPausedSinceTick reports whether more than the timeout has passed since lastTick, which means that this host was
// paused.
func (r *Roster) hasPausedSinceTick(now time.Time) bool {
	return now.Sub(r.lastTick) > r.timeout
}

// recordTick sets lastTick to now and, after a pause, marks the view as out of date and adds the peers that were live
// before the pause to expectedPeers. It clears expectedPeers once the view is current again. The caller holds the lock.
func (r *Roster) recordTick(now time.Time) {
	if r.hasPausedSinceTick(now) {
		for _, m := range r.livePeers(r.lastTick) {
			r.expectedPeers[m.ID] = struct{}{}
		}
		r.staleSince = now
	}
	if now.Sub(r.staleSince) >= r.timeout && len(r.livePeers(now)) > 0 {
		clear(r.expectedPeers)
	}
	if now.After(r.lastTick) {
		r.lastTick = now
	}
}

func (r *Roster) livePeers(now time.Time) memberList {
	live := make(memberList, 0, len(r.peers)+1)
	for _, peer := range r.peers {
		if now.Sub(peer.heartbeatAt) < r.timeoutOf(peer.Member) {
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
