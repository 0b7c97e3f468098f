package surveyor

import (
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/report"
)

// knowledge is what this host knows of one endpoint.
type knowledge struct {
	incarnation string
	// weight is the endpoint's rank for this host among those of its group, the same for each of its incarnations.
	weight   uint64
	inFlight int
	// last is the newest report and lastAt when it came.
	last   report.Report
	lastAt time.Time
	// coldUntil is the later of what the platform and the endpoint say.
	coldUntil time.Time
	// passOverUntil is until when the endpoint is taken only if no other is left.
	passOverUntil time.Time
	// replaced says that another endpoint answered at the address.
	replaced bool
}

// knowledgeOf returns what is known of the endpoint; a new incarnation is unknown. The lock is held.
func (s *Surveyor) knowledgeOf(h *host.Host) *knowledge {
	k := s.known[h.ID]
	if k == nil || k.incarnation != h.Incarnation {
		k = &knowledge{incarnation: h.Incarnation, weight: ranker.Weight(s.self, h.ID)}
		s.known[h.ID] = k
	}
	if h.ColdUntil.After(k.coldUntil) {
		k.coldUntil = h.ColdUntil
	}
	return k
}

// learn takes in a report of the endpoint.
func (k *knowledge) learn(now time.Time, r report.Report) {
	if r.ColdFor > 0 {
		k.coldUntil = now.Add(r.ColdFor)
	}
	if !r.Loaded {
		return
	}
	k.last = r
	k.lastAt = now
}

func (k *knowledge) isCold(now time.Time) bool {
	return now.Before(k.coldUntil)
}
