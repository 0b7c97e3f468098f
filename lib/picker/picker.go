package picker

import (
	"math/rand/v2"

	"poplarhook.example/lib/capacity"
)

// Policies by which endpoints are picked.
const (
	// PolicyRandom picks any open endpoint.
	PolicyRandom = "random"
	// PolicyTwoChoices picks the one with fewer own requests in flight of two random open endpoints.
	PolicyTwoChoices = "two_choices"
	// PolicyAlone picks as PolicyTwoChoices, of warm endpoints only and within this host's share of each.
	PolicyAlone = "alone"
)

// Picker picks endpoints by the requests that this host itself has in flight.
//
// A Picker is not safe for concurrent use.
type Picker struct {
	policy   string
	random   *rand.Rand
	inFlight map[string]int
	// eligible is kept for the next pick.
	eligible []string
}

// New returns a Picker; the seed decides its random picks.
func New(policy string, seed uint64) *Picker {
	return &Picker{
		policy:   policy,
		random:   rand.New(rand.NewPCG(seed, seed)),
		inFlight: make(map[string]int),
	}
}

// Pick returns an endpoint other than the excluded one, and false if none may be picked.
//
// The limit of an endpoint is shared by the given number of entry hosts.
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
	return p.fewer(p.eligible[first], p.eligible[second]), true
}

// Start counts a request that goes to the endpoint.
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

func (p *Picker) fewer(a, b string) string {
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}

func (p *Picker) isWithinShare(c capacity.Capacity, hosts int) bool {
	if p.policy != PolicyAlone {
		return true
	}
	hosts = max(hosts, 1)
	share := (c.Limit + hosts - 1) / hosts
	return !c.Cold && p.inFlight[c.Endpoint] < share
}
