package warmer

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
	// ceiling is the limit that the slots allow, zero while they are unknown.
	ceiling int

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
	if incarnation == "" || incarnation == w.incarnation {
		return
	}
	if w.incarnation != "" {
		w.doubt(now, ReasonIncarnation)
		w.leaving = false
		w.failedUntil = time.Time{}
	}
	w.incarnation = incarnation
}

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

// AssumeWarm notes that another host has proof of the endpoint's warmth, an empty incarnation if it names none.
func (w *Warmer) AssumeWarm(incarnation string, slots int) {
	if incarnation != "" {
		w.incarnation = incarnation
	}
	w.seen = true
	w.warm = true
	w.limit = max(w.limit, slots+1)
}

// Failure notes a request that failed by the endpoint's fault; it halves the limit, and several in a row close the endpoint for a time.
func (w *Warmer) Failure(now time.Time) {
	w.failures++
	w.limit = max(w.limit/2, coldLimit)
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
	w.ceiling = min(slots+1, maxLimit)
	if !w.Open(now) {
		return 0
	}
	if !w.warm {
		return coldLimit
	}
	w.limit = min(w.limit, w.ceiling)
	return w.limit
}

// Most returns how many requests work that has waited for long may bring the endpoint to; it is the Limit while that is reduced.
func (w *Warmer) Most(now time.Time, slots int) int {
	limit := w.Limit(now, slots)
	if !w.warm || limit < w.ceiling {
		return limit
	}
	return max(limit, min(mostPerSlot*slots, maxLimit))
}

// Cold reports whether the endpoint gets single requests only.
func (w *Warmer) Cold(time.Time) bool {
	return !w.warm
}

// Open reports whether the endpoint may get new work.
func (w *Warmer) Open(now time.Time) bool {
	return !w.out && w.listed && !w.isLeaving() && !now.Before(w.failedUntil)
}

// Capacity returns the limits in one value.
func (w *Warmer) Capacity(now time.Time, endpoint string, slots int) capacity.Capacity {
	return capacity.Capacity{
		Endpoint: endpoint,
		Limit:    w.Limit(now, slots),
		Most:     w.Most(now, slots),
		Cold:     w.Cold(now),
		Open:     w.Open(now),
	}
}
