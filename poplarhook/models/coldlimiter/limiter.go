package coldlimiter

import "time"

// Limiter spaces the requests to cold endpoints so that all hosts together stay within the rate that each endpoint
// allows.
//
// The hosts do not coordinate this. Only the hosts that rank highest for an
// endpoint may use it while it is cold. There are at most as many of them as
// requests per second are allowed as slack, and each of them sends an equal
// part of the rate that the endpoint declares.
//
// A Limiter is not safe for concurrent use.
type Limiter struct {
	nextAllowedAt map[string]time.Time
}

// New returns a Limiter without recorded requests.
func New() *Limiter {
	return &Limiter{nextAllowedAt: make(map[string]time.Time)}
}

// Allows reports whether the interval since this host's last request to the cold endpoint is over, so that another
// one may be sent now.
func (l *Limiter) Allows(now time.Time, endpoint string) bool {
	return !now.Before(l.nextAllowedAt[endpoint])
}

// Record counts a request to the cold endpoint. The hosts that may use the endpoint share its rate in requests per
// second; their number is hosts.
func (l *Limiter) Record(now time.Time, endpoint string, perSecond float64, hosts int) {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	l.nextAllowedAt[endpoint] = now.Add(time.Duration(float64(time.Second) * float64(max(hosts, 1)) / perSecond))
}

// defaultPerSecond is the rate of an endpoint that declares none, in requests per second.
const defaultPerSecond = 1

// Retain removes the endpoints for which listed returns false.
func (l *Limiter) Retain(listed func(endpoint string) bool) {
	for endpoint := range l.nextAllowedAt {
		if !listed(endpoint) {
			delete(l.nextAllowedAt, endpoint)
		}
	}
}
