package warmer

<<<<<<< HEAD
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
=======
import (
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/report"
)

// States of an endpoint.
const (
	StateNew     = "new"
	StateCold    = "cold"
	StateWarm    = "warm"
	StateLeaving = "leaving"
	StateFailed  = "failed"
	StateOut     = "out"
)

// Reasons why an endpoint is in its state.
const (
	ReasonNeverSeen       = "never_seen"
	ReasonNotListed       = "not_listed"
	ReasonListedAgain     = "listed_again"
	ReasonListedLeaving   = "listed_leaving"
	ReasonSaysLeaving     = "says_leaving"
	ReasonStayed          = "stayed"
	ReasonSaysCold        = "says_cold"
	ReasonIncarnation     = "incarnation_changed"
	ReasonConnectionReset = "connection_reset"
	ReasonFailures        = "failures"
	ReasonZoneOut         = "zone_out"
	ReasonZoneBack        = "zone_back"
	ReasonProving         = "proving"
	ReasonRamping         = "ramping"
	ReasonWarm            = "warm"
)

// Warmer holds what has been seen of one endpoint; where that leaves a doubt, the endpoint is cold.
//
// A Warmer is not safe for concurrent use.
type Warmer struct {
	proof            int
	unreportedProof  int
	rampStep         int
	failureThreshold int
	firstBackoff     time.Duration
	maxBackoff       time.Duration
	leavingDoubt     time.Duration

	listed          bool
	listedLeaving   bool
	listIncarnation string
	out             bool

	incarnation string
	seen        bool
	warm        bool
	coldReason  string
	doubtedAt   time.Time
	// proved counts the answers to requests sent since the doubt.
	proved int
	// says is what the reports said since the doubt.
	says saying

	limit   int
	climbed int

	leaving     bool
	leavingAt   time.Time
	failures    int
	backoff     time.Duration
	failedUntil time.Time
}

// saying is what the last report since a doubt said.
type saying int

const (
	saysNothing saying = iota
	saysCold
	saysWarm
)

// New returns a Warmer of an endpoint that nothing is known of and that is not listed.
func New(options ...Option) *Warmer {
	w := &Warmer{
		proof:            defaultProof,
		unreportedProof:  defaultUnreportedProof,
		rampStep:         defaultRampStep,
		failureThreshold: defaultFailureThreshold,
		firstBackoff:     defaultBackoff,
		maxBackoff:       defaultMaxBackoff,
		leavingDoubt:     defaultLeavingDoubt,
		coldReason:       ReasonNeverSeen,
		limit:            coldLimit,
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// SetListed notes what the platform's list says; a lagging list closes an endpoint but never opens a doubtful one.
func (w *Warmer) SetListed(now time.Time, listed, leaving bool, incarnation string) {
	if listed && !w.listed && w.seen {
		w.doubt(now, ReasonListedAgain)
	}
	if listed && incarnation != w.listIncarnation {
		if w.listIncarnation != "" && incarnation != w.incarnation {
			w.doubt(now, ReasonIncarnation)
		}
		w.listIncarnation = incarnation
	}
	w.listed = listed
	w.listedLeaving = leaving
}

// Observe notes a load report.
func (w *Warmer) Observe(now time.Time, r report.Report) {
	w.NewIncarnation(now, r.Incarnation)
	w.observeLeaving(now, r.Leaving)
	if !r.Cold {
		w.says = saysWarm
		w.believe()
		return
	}
	if w.warm || w.coldReason != ReasonSaysCold {
		w.doubt(now, ReasonSaysCold)
	}
	w.says = saysCold
}

// NewIncarnation notes which start of the endpoint has answered; a change makes it cold, an empty one says nothing.
func (w *Warmer) NewIncarnation(now time.Time, incarnation string) {
>>>>>>> decisions
	if incarnation == "" || incarnation == w.incarnation {
		return
	}
	if w.incarnation != "" {
<<<<<<< HEAD
		w.Reset(now)
		w.leavingAt = time.Time{}
=======
		w.doubt(now, ReasonIncarnation)
		w.leaving = false
		w.failedUntil = time.Time{}
>>>>>>> decisions
	}
	w.incarnation = incarnation
}

<<<<<<< HEAD
// Cold reports whether the endpoint bears single requests only.
=======
// ConnectionReset notes that the endpoint broke a connection, as a restart would.
func (w *Warmer) ConnectionReset(now time.Time) {
	w.doubt(now, ReasonConnectionReset)
}

// Success notes answers that the given incarnation completed; to be a proof, the requests were sent after the last doubt.
func (w *Warmer) Success(now time.Time, incarnation string, sentAt time.Time, answers int) {
	w.NewIncarnation(now, incarnation)
	w.seen = true
	w.failures = 0
	w.backoff = 0
	if sentAt.Before(w.doubtedAt) {
		return
	}
	if w.warm {
		w.climb(answers)
		return
	}
	w.proved += answers
	w.believe()
}

// Failure notes a request that failed by the endpoint's fault; several in a row close it for a time.
func (w *Warmer) Failure(now time.Time) {
	w.failures++
	w.limit = coldLimit
	w.climbed = 0
	if w.failures < w.failureThreshold || now.Before(w.failedUntil) {
		return
	}
	w.backoff = min(max(w.backoff*2, w.firstBackoff), w.maxBackoff)
	w.failedUntil = now.Add(w.backoff)
	w.doubt(now, ReasonFailures)
}

// ZoneOut notes that operators have taken the endpoint's availability zone out.
func (w *Warmer) ZoneOut(time.Time) {
	w.out = true
}

// ZoneBack notes that operators have brought the availability zone back; the endpoint comes back cold.
func (w *Warmer) ZoneBack(now time.Time) {
	if !w.out {
		return
	}
	w.out = false
	w.doubt(now, ReasonZoneBack)
}

// Limit returns how many requests the endpoint may have in flight over all entry hosts.
func (w *Warmer) Limit(now time.Time, slots int) int {
	if !w.Open(now) {
		return 0
	}
	if !w.warm {
		return coldLimit
	}
	return min(w.limit, slots+1)
}

// Cold reports whether the endpoint gets single requests only.
>>>>>>> decisions
func (w *Warmer) Cold(time.Time) bool {
	return !w.warm
}

// Open reports whether the endpoint may get new work.
func (w *Warmer) Open(now time.Time) bool {
<<<<<<< HEAD
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
=======
	return !w.out && w.listed && !w.isLeaving() && !now.Before(w.failedUntil)
}

// Capacity returns the limits in one value.
func (w *Warmer) Capacity(now time.Time, endpoint string, slots int) capacity.Capacity {
	return capacity.Capacity{
		Endpoint: endpoint,
		Limit:    w.Limit(now, slots),
		Cold:     w.Cold(now),
		Open:     w.Open(now),
	}
}
>>>>>>> decisions
