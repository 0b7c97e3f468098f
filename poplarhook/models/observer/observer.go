package observer

import "time"

const (
	// warmTTL is how long an endpoint counts as warm after an answer.
	warmTTL = 10 * time.Second
	// suspectTTL is how long an endpoint stays suspect on this host. The group's owner keeps it suspect until its
	// state is confirmed.
	suspectTTL = 50 * time.Millisecond
	// leavingTTL is how long an endpoint counts as leaving after it was last seen leaving.
	leavingTTL = 10 * time.Second
)

// Observer keeps what one entry host itself has observed of a group's endpoints. It is not safe for concurrent use.
type Observer struct {
	observations map[string]observation
}

// observation is the observed state of one endpoint.
type observation struct {
	incarnation string
	warmAt      time.Time
	suspectAt   time.Time
	leavingAt   time.Time
}

// New returns an Observer without observations.
func New() *Observer {
	return &Observer{observations: make(map[string]observation)}
}

// RecordWarm records an answer of a warm endpoint, and reports whether a changed incarnation shows that the endpoint
// has restarted.
func (o *Observer) RecordWarm(now time.Time, endpoint, incarnation string) (restarted bool) {
	s := o.observations[endpoint]
	restarted = incarnation != "" && s.incarnation != "" && s.incarnation != incarnation
	if restarted {
		s.leavingAt = time.Time{}
	}
	if incarnation != "" {
		s.incarnation = incarnation
	}
	s.warmAt = now
	o.observations[endpoint] = s
	return restarted
}

// MarkSuspect records an event after which the endpoint may be cold: the endpoint becomes suspect and no longer
// counts as warm.
func (o *Observer) MarkSuspect(now time.Time, endpoint string) {
	s := o.observations[endpoint]
	s.warmAt = time.Time{}
	s.suspectAt = now
	o.observations[endpoint] = s
}

// RecordLeaving records that the endpoint was seen leaving now: it takes no new work and counts as leaving for
// leavingTTL. RecordLeaving reports whether the endpoint did not count as leaving before.
func (o *Observer) RecordLeaving(now time.Time, endpoint string) (changed bool) {
	s := o.observations[endpoint]
	changed = !isWithin(now, s.leavingAt, leavingTTL)
	s.leavingAt = now
	o.observations[endpoint] = s
	return changed
}

// IsSuspect reports whether the endpoint became suspect less than suspectTTL ago, so that a warm credit for it must not
// be used.
func (o *Observer) IsSuspect(now time.Time, endpoint string) bool {
	return isWithin(now, o.observations[endpoint].suspectAt, suspectTTL)
}

// IsUnconfirmed reports whether the endpoint became suspect recently and no answer has shown it warm since.
func (o *Observer) IsUnconfirmed(now time.Time, endpoint string) bool {
	s := o.observations[endpoint]
	return s.warmAt.Before(s.suspectAt) && isWithin(now, s.suspectAt, warmTTL)
}

// IsLeaving reports whether the endpoint was seen leaving less than leavingTTL ago and has not been cleared since; it
// then takes no new work.
func (o *Observer) IsLeaving(now time.Time, endpoint string) bool {
	return isWithin(now, o.observations[endpoint].leavingAt, leavingTTL)
}

// IsWarm reports whether a recent answer showed that the endpoint is warm, and it has not become suspect since.
func (o *Observer) IsWarm(now time.Time, endpoint string) bool {
	return isWithin(now, o.observations[endpoint].warmAt, warmTTL)
}

// Incarnation returns the incarnation that the endpoint last reported, empty if none.
func (o *Observer) Incarnation(endpoint string) string {
	return o.observations[endpoint].incarnation
}

// Retain removes the endpoints for which isListed returns false.
func (o *Observer) Retain(isListed func(endpoint string) bool) {
	for endpoint := range o.observations {
		if !isListed(endpoint) {
			delete(o.observations, endpoint)
		}
	}
}

// isWithin reports whether now is less than ttl after since; it is false if since is zero.
func isWithin(now, since time.Time, ttl time.Duration) bool {
	return !since.IsZero() && now.Sub(since) < ttl
}
