package observer

import "time"

const (
	// warmFor is how long an answer proves that its endpoint is warm.
	warmFor = 10 * time.Second
	// doubtFor is how long a doubt holds here; the group's owner keeps it until it is settled.
	doubtFor = 50 * time.Millisecond
	// leavingFor is how long the sight of a leaving endpoint holds without being repeated.
	leavingFor = 10 * time.Second
)

// Observer keeps what one entry host has itself seen of a group's endpoints; it is not safe for concurrent use.
type Observer struct {
	seen map[string]sight
}

// sight is what was seen of one endpoint.
type sight struct {
	incarnation string
	warmAt      time.Time
	doubtedAt   time.Time
	leavingAt   time.Time
}

// New returns an Observer that has seen nothing.
func New() *Observer {
	return &Observer{seen: make(map[string]sight)}
}

// Warm notes an answer of a warm endpoint and reports whether its incarnation is a new one.
func (o *Observer) Warm(now time.Time, endpoint, incarnation string) (restarted bool) {
	s := o.seen[endpoint]
	restarted = incarnation != "" && s.incarnation != "" && s.incarnation != incarnation
	if restarted {
		s.leavingAt = time.Time{}
	}
	if incarnation != "" {
		s.incarnation = incarnation
	}
	s.warmAt = now
	o.seen[endpoint] = s
	return restarted
}

// Doubt notes a reason to take the endpoint for cold.
func (o *Observer) Doubt(now time.Time, endpoint string) {
	s := o.seen[endpoint]
	s.warmAt = time.Time{}
	s.doubtedAt = now
	o.seen[endpoint] = s
}

// Leaving notes that the endpoint takes no new work and reports whether that is news.
func (o *Observer) Leaving(now time.Time, endpoint string) (news bool) {
	s := o.seen[endpoint]
	news = !isWithin(now, s.leavingAt, leavingFor)
	s.leavingAt = now
	o.seen[endpoint] = s
	return news
}

// Staying notes that the endpoint takes new work again.
func (o *Observer) Staying(endpoint string) {
	s := o.seen[endpoint]
	s.leavingAt = time.Time{}
	o.seen[endpoint] = s
}

// IsDoubted reports whether a warm credit for the endpoint must not be used.
func (o *Observer) IsDoubted(now time.Time, endpoint string) bool {
	return isWithin(now, o.seen[endpoint].doubtedAt, doubtFor)
}

// IsLeaving reports whether the endpoint takes no new work.
func (o *Observer) IsLeaving(now time.Time, endpoint string) bool {
	return isWithin(now, o.seen[endpoint].leavingAt, leavingFor)
}

// IsWarm reports whether an answer proved the endpoint warm a short time ago, with no doubt since.
func (o *Observer) IsWarm(now time.Time, endpoint string) bool {
	return isWithin(now, o.seen[endpoint].warmAt, warmFor)
}

// Incarnation returns the incarnation that the endpoint last named, empty if none.
func (o *Observer) Incarnation(endpoint string) string {
	return o.seen[endpoint].incarnation
}

// Retain forgets every endpoint that is not listed.
func (o *Observer) Retain(isListed func(endpoint string) bool) {
	for endpoint := range o.seen {
		if !isListed(endpoint) {
			delete(o.seen, endpoint)
		}
	}
}

func isWithin(now, since time.Time, span time.Duration) bool {
	return !since.IsZero() && now.Sub(since) < span
}
