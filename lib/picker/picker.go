package picker

import (
	"math/rand/v2"

	"poplarhook.example/lib/capacity"
)

// Policies by which endpoints are picked.
const (
	// PolicyRandom picks an open endpoint at random.
	PolicyRandom = "random"
	// PolicyTwoChoices picks, of two random open endpoints, the one with fewer requests of this host in flight.
	PolicyTwoChoices = "two_choices"
	// PolicyLocalShare picks like PolicyTwoChoices, but only warm endpoints and within this host's share of each limit.
	PolicyLocalShare = "alone"
)

// Picker picks endpoints by the requests that this host itself has in flight.
//
// A Picker is not safe for concurrent use.
type Picker struct {
	policy   string
	random   *rand.Rand
	inFlight map[string]int
	// eligible is a buffer that Pick reuses.
	eligible []string
}

// New returns a Picker with the given policy; seed initializes its random numbers.
func New(policy string, seed uint64) *Picker {
	return &Picker{
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, seed)),
		inFlight: make(map[string]int),
	}
}

// Pick returns an endpoint other than the excluded one, or false if none may be picked.
//
// The argument hosts is the number of entry hosts that share the limit of each endpoint.
func (p *Picker) Pick(capacities []capacity.Capacity, hosts int, excluded string) (string, bool) {
	p.eligible = p.eligible[:0]
	for _, c := range capacities {
		if c.Open && c.Endpoint != excluded && p.isWithinShare(c, hosts) {
			p.eligible = append(p.eligible, c.Endpoint)
		}
	}
	if len(p.eligible) == 0 {
		return "", false
	}
	first := p.random.IntN(len(p.eligible))
	if p.policy == PolicyRandom || len(p.eligible) == 1 {
		return p.eligible[first], true
	}
	second := p.random.IntN(len(p.eligible) - 1)
	if second >= first {
		second++
	}
	return p.pickLessLoaded(p.eligible[first], p.eligible[second]), true
}

// Start counts a request as in flight at the endpoint.
func (p *Picker) Start(endpoint string) {
	p.inFlight[endpoint]++
}

// Finish counts the end of a request at the endpoint.
func (p *Picker) Finish(endpoint string) {
	p.inFlight[endpoint]--
	if p.inFlight[endpoint] <= 0 {
		delete(p.inFlight, endpoint)
	}
}

// InFlight returns how many requests this host has in flight at the endpoint.
func (p *Picker) InFlight(endpoint string) int {
	return p.inFlight[endpoint]
}

func (p *Picker) pickLessLoaded(a, b string) string {
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}

// isWithinShare reports whether the policy allows this host another request at the endpoint. Only PolicyLocalShare
// restricts it: to warm endpoints, and to an equal share of the endpoint's limit for each of the entry hosts, rounded
// up.
func (p *Picker) isWithinShare(c capacity.Capacity, hosts int) bool {
	if p.policy != PolicyLocalShare {
		return true
	}
	hosts = max(hosts, 1)
	share := (c.Limit + hosts - 1) / hosts
	return !c.Cold && p.inFlight[c.Endpoint] < share
}
