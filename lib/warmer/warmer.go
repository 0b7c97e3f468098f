package warmer

import "time"

const (
	// reportedProofs is how many answers with a report of warmth make an endpoint warm.
	reportedProofs = 3
	// rampProofs is how many further answers raise the limit of a warm endpoint by one.
	rampProofs = 4
	// leavingFor is how long the sight of a leaving endpoint holds without being repeated.
	leavingFor = 10 * time.Second
	coldLimit  = 1
)

// Warmer is the state of one endpoint at its group's owner; it is not safe for concurrent use.
type Warmer struct {
	incarnation string
	warm        bool
	// proofs counts the answers of the present incarnation since it was last doubted.
	proofs    int
	leaving   bool
	leavingAt time.Time
	zoneOut   bool
	doubts    int
}

// New returns the state of an endpoint that nothing is known of, which is cold.
func New() *Warmer {
	return &Warmer{}
}

// Listed takes in what the host list says; an incarnation other than the one known is a restart.
func (w *Warmer) Listed(now time.Time, incarnation string, leaving bool) {
	w.leaving = leaving
	w.meet(now, incarnation)
}

// SetZoneOut says whether the endpoint's availability zone is out; one that comes back is cold.
func (w *Warmer) SetZoneOut(now time.Time, out bool) {
	if w.zoneOut && !out {
		w.Reset(now)
	}
	w.zoneOut = out
}

// Answered takes in an answer and what its report says.
func (w *Warmer) Answered(now time.Time, incarnation string, cold, leaving bool) {
	w.meet(now, incarnation)
	if leaving {
		w.leavingAt = now
		return
	}
	if cold {
		w.warm = false
		w.proofs = 0
		return
	}
	w.proofs++
	if w.proofs >= reportedProofs {
		w.warm = true
	}
}

// Reset takes in a reason to take the endpoint for cold, such as a connection that broke.
func (w *Warmer) Reset(time.Time) {
	if w.warm {
		w.doubts++
	}
	w.warm = false
	w.proofs = 0
}

// AssumeWarm takes in that another host has proof of the endpoint's warmth.
func (w *Warmer) AssumeWarm(_ time.Time, incarnation string) {
	if incarnation != "" {
		w.incarnation = incarnation
	}
	w.warm = true
	w.proofs = max(w.proofs, reportedProofs)
}

// meet notes an incarnation; one other than the known one has restarted.
func (w *Warmer) meet(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == w.incarnation {
		return
	}
	if w.incarnation != "" {
		w.Reset(now)
		w.leavingAt = time.Time{}
	}
	w.incarnation = incarnation
}

// Cold reports whether the endpoint bears single requests only.
func (w *Warmer) Cold(time.Time) bool {
	return !w.warm
}

// Open reports whether the endpoint may get new work.
func (w *Warmer) Open(now time.Time) bool {
	return !w.leaving && !w.zoneOut && !w.isSeenLeaving(now)
}

// Limit returns the most requests that the endpoint bears in flight, one more than its slots when it is warm.
func (w *Warmer) Limit(_ time.Time, slots int) int {
	if !w.warm {
		return coldLimit
	}
	return min(coldLimit+1+(w.proofs-reportedProofs)/rampProofs, slots+1)
}

// Reason returns why the endpoint is not open or not warm, empty if it is both.
func (w *Warmer) Reason(now time.Time) string {
	switch {
	case w.zoneOut:
		return "zone_out"
	case w.leaving:
		return "listed_leaving"
	case w.isSeenLeaving(now):
		return "seen_leaving"
	case !w.warm:
		return "cold"
	default:
		return ""
	}
}

func (w *Warmer) isSeenLeaving(now time.Time) bool {
	return !w.leavingAt.IsZero() && now.Sub(w.leavingAt) < leavingFor
}
