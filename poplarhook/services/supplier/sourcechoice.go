package supplier

import (
	"slices"
	"time"

	"poplarhook.example/lib/host"
)

// penalty excludes a host that did not serve from being used as a source until a time; duration is the length of the
// latest exclusion.
type penalty struct {
	until    time.Time
	duration time.Duration
}

const (
	// firstPenalty is the length of a source's first exclusion, maxPenalty that of the longest one.
	firstPenalty = 2 * time.Second
	maxPenalty   = 30 * time.Second
	// maxFailures is the number of consecutive sources that may fail before this host follows the store itself: trying
	// all of them one by one would take longer than the bound on the delay of a change.
	maxFailures = 2
)

// nextSource returns the source of the next session, which is this host itself if too many sources failed in a row.
func (s *Supplier) nextSource() host.Host {
	if s.resetIfTooManyFailures() {
		return s.self
	}
	return s.preferredSource()
}

// resetIfTooManyFailures reports whether too many sources failed in a row, and resets the count if so.
func (s *Supplier) resetIfTooManyFailures() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedSources < maxFailures {
		return false
	}
	s.failedSources = 0
	return true
}

// preferredSource returns the best source without a penalty.
func (s *Supplier) preferredSource() host.Host {
	return s.firstWithoutPenalty(sourcesFor(s.self, s.members.Get().Items, s.fanout))
}

// firstWithoutPenalty returns the first of the hosts without a penalty, or this host if all have one.
func (s *Supplier) firstWithoutPenalty(hosts []host.Host) host.Host {
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

// betterSource returns the source to use after a review of the current session, which may be the current source.
//
// A host that follows the store but gets no answer from it tries the hosts
// ranked lower than itself, since the store may refuse only some hosts.
func (s *Supplier) betterSource(current *session) host.Host {
	preferred := s.preferredSource()
	if preferred.ID != s.self.ID || current.source.ID != s.self.ID || s.storeReachable.Load() {
		return preferred
	}
	return s.firstWithoutPenalty(lowerRankedHosts(s.self, s.members.Get().Items))
}

// isLowerRanked reports whether the source comes after this host in the order in which the hosts of the region should
// follow the store.
func (s *Supplier) isLowerRanked(source host.Host) bool {
	return slices.ContainsFunc(lowerRankedHosts(s.self, s.members.Get().Items), func(h host.Host) bool { return h.ID == source.ID })
}

// addPenalty excludes a host as a source, each time for twice as long unless it served for longer than the longest
// penalty.
func (s *Supplier) addPenalty(id string, served time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.penalties[id]
	p.duration = min(max(2*p.duration, firstPenalty), maxPenalty)
	if served > maxPenalty {
		p.duration = firstPenalty
	}
	p.until = s.clock().Add(p.duration)
	s.penalties[id] = p
}

// recordFailure counts a source whose session has ended. At maxFailures in a row, nextSource chooses this host itself,
// which then follows the store.
func (s *Supplier) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedSources++
}

// recordSuccess resets the count of consecutive failed sources, since a source has sent a view.
func (s *Supplier) recordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedSources = 0
}

// clearPenalties allows every host as a source again and resets the count of consecutive failed sources.
func (s *Supplier) clearPenalties() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedSources = 0
	clear(s.penalties)
}
