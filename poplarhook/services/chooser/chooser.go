package chooser

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
)

// source returns the endpoints of a group that may get new requests.
type source interface {
	OpenEndpoints(now time.Time, g group.Group) []host.Host
}

// Chooser binds each request at once, based only on this host's own requests in flight.
type Chooser struct {
	clock   func() time.Time
	source  source
	choices int

	mu       sync.Mutex
	random   *rand.Rand
	inFlight map[string]int
}

// Option configures a Chooser.
type Option func(*Chooser)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(c *Chooser) { c.clock = clock }
}

// WithChoices sets how many endpoints are drawn at random for each request; with one, the choice is purely random.
func WithChoices(n int) Option {
	return func(c *Chooser) { c.choices = n }
}

// WithSeed sets the seed of the random draws.
func WithSeed(seed uint64) Option {
	return func(c *Chooser) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

const defaultChoices = 2

// New returns a Chooser that picks among the endpoints of the source.
func New(s source, options ...Option) *Chooser {
	c := &Chooser{
		clock:    time.Now,
		source:   s,
		choices:  defaultChoices,
		random:   rand.New(rand.NewPCG(1, 1)),
		inFlight: make(map[string]int),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Bind draws random endpoints from the first group that has any, and binds the request to the drawn endpoint with the
// fewest of this host's requests in flight.
func (c *Chooser) Bind(_ context.Context, req requirement.Requirement) (binding.Binding, error) {
	now := c.clock()
	for _, g := range req.Groups {
		if endpoint, ok := c.chooseEndpoint(c.source.OpenEndpoints(now, g), req.Excluded); ok {
			return binding.Binding{Group: g, Endpoint: endpoint, Local: true, AllowNewConnection: true}, nil
		}
	}
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "no endpoint is open").WithRetryAfter(time.Second)
}

// Finish records that the request of a binding has ended.
func (c *Chooser) Finish(b binding.Binding, _ report.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[b.Endpoint.ID]--
	if c.inFlight[b.Endpoint.ID] <= 0 {
		delete(c.inFlight, b.Endpoint.ID)
	}
}

func (c *Chooser) chooseEndpoint(endpoints []host.Host, excluded string) (host.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := -1
	for range c.choices {
		if len(endpoints) == 0 {
			break
		}
		i := c.random.IntN(len(endpoints))
		if endpoints[i].ID == excluded && len(endpoints) > 1 {
			i = (i + 1) % len(endpoints)
		}
		if best < 0 || c.inFlight[endpoints[i].ID] < c.inFlight[endpoints[best].ID] {
			best = i
		}
	}
	if best < 0 {
		return host.Host{}, false
	}
	c.inFlight[endpoints[best].ID]++
	return endpoints[best], true
}
