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
	ReasonReportsLeaving  = "says_leaving"
	ReasonDidNotLeave     = "stayed"
	ReasonReportsCold     = "says_cold"
	ReasonIncarnation     = "incarnation_changed"
	ReasonConnectionReset = "connection_reset"
	ReasonFailures        = "failures"
	ReasonZoneOut         = "zone_out"
	ReasonZoneBack        = "zone_back"
	ReasonAwaitingAnswers = "proving"
	ReasonRamping         = "ramping"
	ReasonWarm            = "warm"
)

// Warmer tracks the state of one endpoint. The endpoint counts as cold whenever it is uncertain whether it is warm.
//
// A Warmer is not safe for concurrent use.
type Warmer struct {
	requiredAnswers   int
	unreportedAnswers int
	rampAnswers       int
	failureThreshold  int
	firstBackoff      time.Duration
	maxBackoff        time.Duration
	leavingTimeout    time.Duration

	listed          bool
	listedLeaving   bool
	listIncarnation string
	zoneOut         bool

	incarnation string
	// known is true once the endpoint has answered, was made cold or was assumed to be warm.
	known      bool
	warm       bool
	coldReason string
	madeColdAt time.Time
	// answersSinceCold counts the answers to requests that were sent since makeCold was last called.
	answersSinceCold int
	// lastReported is the state from the last load report since makeCold was last called.
	lastReported reportedState

	// limit is the limit while the endpoint is warm. rampProgress counts the answers towards its next rise by one.
	limit        int
	rampProgress int
	// slotLimit is the limit that the number of slots allows, or zero while that number is unknown.
	slotLimit int

	leaving             bool
	lastLeavingAt       time.Time
	consecutiveFailures int
	backoff             time.Duration
	failedUntil         time.Time
}

// reportedState is the state that a load report gave.
type reportedState int

const (
	reportedNothing reportedState = iota
	reportedCold
	reportedWarm
)

// New returns a Warmer of an endpoint that is unknown and not listed.
func New(options ...Option) *Warmer {
	w := &Warmer{
		requiredAnswers:   defaultRequiredAnswers,
		unreportedAnswers: defaultUnreportedAnswers,
		rampAnswers:       defaultRampAnswers,
		failureThreshold:  defaultFailureThreshold,
		firstBackoff:      defaultBackoff,
		maxBackoff:        defaultMaxBackoff,
		leavingTimeout:    defaultLeavingTimeout,
		coldReason:        ReasonNeverSeen,
		limit:             coldLimit,
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// SetListed records the endpoint's entry in the platform's list of hosts: whether there is one, and if so, whether it
// says that the endpoint is leaving, and its incarnation. An endpoint that is not listed or is leaving gets no
// requests.
//
// An endpoint that is listed again, or with a new incarnation, becomes cold. An outdated list may close an endpoint but
// never makes it warm.
func (w *Warmer) SetListed(now time.Time, listed, leaving bool, incarnation string) {
	if listed && !w.listed && w.known {
		w.makeCold(now, ReasonListedAgain)
	}
	if listed && incarnation != w.listIncarnation {
		if w.listIncarnation != "" && incarnation != w.incarnation {
			w.makeCold(now, ReasonIncarnation)
		}
		w.listIncarnation = incarnation
	}
	w.listed = listed
	w.listedLeaving = leaving
}

// Observe processes a load report of the endpoint: its incarnation and whether it is leaving, cold or warm.
func (w *Warmer) Observe(now time.Time, r report.Report) {
	w.SetIncarnation(now, r.Incarnation)
	w.updateLeaving(now, r.Leaving)
	if !r.Cold {
		w.lastReported = reportedWarm
		w.updateWarm()
		return
	}
	if w.warm || w.coldReason != ReasonReportsCold {
		w.makeCold(now, ReasonReportsCold)
	}
	w.lastReported = reportedCold
}

// SetIncarnation records the incarnation of the endpoint, which changes with each of its starts. A change makes the
// endpoint cold; an empty incarnation is ignored.
func (w *Warmer) SetIncarnation(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == w.incarnation {
		return
	}
	if w.incarnation != "" {
		w.makeCold(now, ReasonIncarnation)
		w.leaving = false
		w.failedUntil = time.Time{}
	}
	w.incarnation = incarnation
}

// ConnectionReset makes the endpoint cold because it reset a connection, which may be the effect of a restart.
func (w *Warmer) ConnectionReset(now time.Time) {
	w.makeCold(now, ReasonConnectionReset)
}

// Success records answers that the given incarnation completed. Answers to requests that were sent before the last
// event that made the endpoint cold do not count towards warming up or raising the limit.
func (w *Warmer) Success(now time.Time, incarnation string, sentAt time.Time, answers int) {
	w.SetIncarnation(now, incarnation)
	w.known = true
	w.consecutiveFailures = 0
	w.backoff = 0
	if sentAt.Before(w.madeColdAt) {
		return
	}
	if w.warm {
		w.raiseLimit(answers)
		return
	}
	w.answersSinceCold += answers
	w.updateWarm()
}

// AssumeWarm makes the endpoint warm because another host knows that it is. The incarnation is empty if that host gave
// none.
func (w *Warmer) AssumeWarm(incarnation string, slots int) {
	if incarnation != "" {
		w.incarnation = incarnation
	}
	w.known = true
	w.warm = true
	w.limit = max(w.limit, slots+1)
}

// Failure records a request that the endpoint failed. It halves the limit, and several consecutive failures close the
// endpoint for some time.
func (w *Warmer) Failure(now time.Time) {
	w.consecutiveFailures++
	w.limit = max(w.limit/2, coldLimit)
	w.rampProgress = 0
	if w.consecutiveFailures < w.failureThreshold || now.Before(w.failedUntil) {
		return
	}
	w.backoff = min(max(w.backoff*2, w.firstBackoff), w.maxBackoff)
	w.failedUntil = now.Add(w.backoff)
	w.makeCold(now, ReasonFailures)
}

// ZoneOut records that operators have taken the endpoint's availability zone out of service, so that the endpoint gets
// no new requests until ZoneBack.
func (w *Warmer) ZoneOut(time.Time) {
	w.zoneOut = true
}

// ZoneBack records that operators have put the availability zone back into service, and makes the endpoint cold.
func (w *Warmer) ZoneBack(now time.Time) {
	if !w.zoneOut {
		return
	}
	w.zoneOut = false
	w.makeCold(now, ReasonZoneBack)
}

// Limit returns how many requests the endpoint may have in flight over all entry hosts.
func (w *Warmer) Limit(now time.Time, slots int) int {
	w.slotLimit = min(slots+1, maxLimit)
	if !w.Open(now) {
		return 0
	}
	if !w.warm {
		return coldLimit
	}
	w.limit = min(w.limit, w.slotLimit)
	return w.limit
}

// HardLimit returns the limit that applies instead of Limit to requests that have waited for a long time. It equals
// Limit while the endpoint is closed or cold or its limit is reduced.
func (w *Warmer) HardLimit(now time.Time, slots int) int {
	limit := w.Limit(now, slots)
	if !w.warm || limit < w.slotLimit {
		return limit
	}
	return max(limit, min(maxRequestsPerSlot*slots, maxLimit))
}

// Cold reports whether the endpoint gets only one request at a time.
func (w *Warmer) Cold(time.Time) bool {
	return !w.warm
}

// Open reports whether the endpoint may get new requests: it is listed and not leaving, its availability zone is in
// service, and no backoff after failures is running.
func (w *Warmer) Open(now time.Time) bool {
	return !w.zoneOut && w.listed && !w.isLeaving() && !now.Before(w.failedUntil)
}

// Capacity returns the limits and the state of the endpoint in one value.
func (w *Warmer) Capacity(now time.Time, endpoint string, slots int) capacity.Capacity {
	return capacity.Capacity{
		Endpoint:  endpoint,
		Limit:     w.Limit(now, slots),
		HardLimit: w.HardLimit(now, slots),
		Cold:      w.Cold(now),
		Open:      w.Open(now),
	}
}
