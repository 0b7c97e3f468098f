package coldgate

import "time"

// Gate spaces the requests to cold endpoints so that all hosts together stay under the rate that each endpoint bears.
//
// Hosts do not talk about it: of all hosts, those that rank first for an
// endpoint may use it while it is cold, at most as many as the slack in one
// second allows, and each sends its part of the declared rate.
// A Gate is not safe for concurrent use.
type Gate struct {
	next map[string]time.Time
}

// New returns a Gate that has let nothing through.
func New() *Gate {
	return &Gate{next: make(map[string]time.Time)}
}

// May reports whether a request may go to the cold endpoint now.
func (g *Gate) May(now time.Time, endpoint string) bool {
	return !now.Before(g.next[endpoint])
}

// Pass counts a request to the cold endpoint of which the given number of hosts share the rate a second.
func (g *Gate) Pass(now time.Time, endpoint string, perSecond float64, sharers int) {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	g.next[endpoint] = now.Add(time.Duration(float64(time.Second) * float64(max(sharers, 1)) / perSecond))
}

// defaultPerSecond is the rate of an endpoint that declares none, in requests.
const defaultPerSecond = 1

// Retain forgets the endpoints that are not listed.
func (g *Gate) Retain(listed func(endpoint string) bool) {
	for endpoint := range g.next {
		if !listed(endpoint) {
			delete(g.next, endpoint)
		}
	}
}
