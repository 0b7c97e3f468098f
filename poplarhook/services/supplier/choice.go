package supplier

import (
	"slices"
	"time"

	"poplarhook.example/lib/host"
)

// penalty keeps a host that did not serve from being asked at once again.
type penalty struct {
	until time.Time
	last  time.Duration
}

const (
	firstPenalty = 2 * time.Second
	lastPenalty  = 30 * time.Second
	// maxFailures is after how many hosts in a row that did not serve this host follows the store itself: to ask one
	// after the other would take longer than a change may.
	maxFailures = 2
)

// choose returns the source to hear next.
func (s *Supplier) choose() host.Host {
	if s.hasFailedOften() {
		return s.self
	}
	return s.prefer()
}

// hasFailedOften reports whether too many hosts in a row did not serve, and forgets them if so.
func (s *Supplier) hasFailedOften() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < maxFailures {
		return false
	}
	s.failures = 0
	return true
}

// prefer returns the best source that is not kept away from.
func (s *Supplier) prefer() host.Host {
	return s.firstAllowed(sourcesFor(s.self, s.members.Get().Items, s.fanout))
}

// firstAllowed returns the first of the hosts that is not kept away from, or this host.
func (s *Supplier) firstAllowed(hosts []host.Host) host.Host {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		if h.ID == s.self.ID || !now.Before(s.penalties[h.ID].until) {
			return h
		}
	}
	return s.self
}

// better returns the source to change to from the present one, which may be the same.
//
// A host that follows the store but does not hear it asks those below it in
// rank, since the store may turn only some hosts away.
func (s *Supplier) better(current *spell) host.Host {
	preferred := s.prefer()
	if preferred.ID != s.self.ID || current.source.ID != s.self.ID || s.storeHeard.Load() {
		return preferred
	}
	return s.firstAllowed(sourcesBelow(s.self, s.members.Get().Items))
}

// isBelow reports whether the host is below this one in rank.
func (s *Supplier) isBelow(source host.Host) bool {
	return slices.ContainsFunc(sourcesBelow(s.self, s.members.Get().Items), func(h host.Host) bool { return h.ID == source.ID })
}

// penalise keeps away from a host, longer each time unless it has served for long.
func (s *Supplier) penalise(id string, served time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.penalties[id]
	p.last = min(max(2*p.last, firstPenalty), lastPenalty)
	if served > lastPenalty {
		p.last = firstPenalty
	}
	p.until = s.clock().Add(p.last)
	s.penalties[id] = p
}

// fail takes in that a source serves no longer.
func (s *Supplier) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
}

// succeed takes in that a host has served.
func (s *Supplier) succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
}

// forgive lets every host be asked again at once.
func (s *Supplier) forgive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	clear(s.penalties)
}
