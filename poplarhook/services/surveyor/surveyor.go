package surveyor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/coldgate"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/lookbudget"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/reputation"
)

// source gives the endpoints of a group that may get new work.
type source interface {
	OpenEndpoints(now time.Time, g group.Group) []host.Host
}

// asker asks an endpoint for its state.
type asker interface {
	Ask(ctx context.Context, endpoint host.Host) report.Report
}

// Surveyor chooses endpoints by what they say at the moment of choice, safe for concurrent use.
type Surveyor struct {
	clock   func() time.Time
	source  source
	asker   asker
	self    string
	region  string
	sharers func(endpoint host.Host) (sharers int, included bool)
	// lookRate is how many looks a second this host may make, zero for no bound.
	lookRate func() float64
	logger   *zap.Logger
	counter  func(event string)
	// background is the context of looks, which outlast the requests that asked for them.
	background context.Context

	mu         sync.Mutex
	random     *rand.Rand
	known      map[string]*knowledge
	looks      *lookbudget.Budget
	gate       *coldgate.Gate
	reputation *reputation.Reputation
	estimator  *estimator.Estimator
	ways       map[string]time.Duration
}

// Option changes how a Surveyor is built.
type Option func(*Surveyor)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(s *Surveyor) { s.clock = clock }
}

// WithSeed sets the seed by which endpoints that look alike are ordered.
func WithSeed(seed uint64) Option {
	return func(s *Surveyor) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSharers sets how many entry hosts share a cold endpoint's rate and whether this one is among them.
func WithSharers(sharers func(endpoint host.Host) (sharers int, included bool)) Option {
	return func(s *Surveyor) { s.sharers = sharers }
}

// WithLookRate sets how many looks a second this host may make.
func WithLookRate(perSecond func() float64) Option {
	return func(s *Surveyor) { s.lookRate = perSecond }
}

// WithLogger sets where choices are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Surveyor) { s.logger = logger }
}

// WithCounter sets where events are counted.
func WithCounter(count func(event string)) Option {
	return func(s *Surveyor) { s.counter = count }
}

// New returns a Surveyor for the entry host in the region; looks end with the context.
func New(ctx context.Context, self, region string, s source, a asker, options ...Option) *Surveyor {
	v := &Surveyor{
		background: ctx,
		clock:      time.Now,
		source:     s,
		asker:      a,
		self:       self,
		region:     region,
		sharers:    func(host.Host) (int, bool) { return 1, true },
		logger:     zap.NewNop(),
		counter:    func(string) {},
		random:     rand.New(rand.NewPCG(1, 1)),
		known:      make(map[string]*knowledge),
		lookRate:   func() float64 { return 0 },
		looks:      lookbudget.New(),
		gate:       coldgate.New(),
		reputation: reputation.New(),
		estimator:  estimator.New(),
		ways:       make(map[string]time.Duration),
	}
	for _, option := range options {
		option(v)
	}
	return v
}

// Finish takes in what an exchange showed about its endpoint.
func (s *Surveyor) Finish(b binding.Binding, r report.Report) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knowledgeOf(&b.Endpoint)
	k.inFlight = max(k.inFlight-1, 0)
	k.learn(now, r)
	switch {
	case r.Misdirected:
		k.replaced = true
	case r.Refused:
		k.passOverUntil = now.Add(refusedFor)
	case r.Cancelled && !s.isOverdue(b, r.Latency):
		// A caller that left soon, or another attempt that was quicker, says nothing about the endpoint.
	case r.Cancelled:
		s.reputation.Record(now, b.Endpoint.ID, true)
	case r.Err != nil:
		s.reputation.Record(now, b.Endpoint.ID, true)
		k.passOverUntil = now.Add(failedFor)
	default:
		s.reputation.Record(now, b.Endpoint.ID, r.Status >= 500)
		if b.Idle && r.Status < 500 {
			s.estimator.Record(b.Class, r.Latency-s.ways[b.Endpoint.Region], b.Slowness)
		}
	}
}

// isOverdue reports whether an answer that did not come should have come long before. The lock is held.
func (s *Surveyor) isOverdue(b binding.Binding, waited time.Duration) bool {
	work := s.estimator.Work(b.Class, 0)
	usual := time.Duration(float64(work) * max(b.Slowness, 1))
	return work > 0 && waited > overdue*usual
}

const (
	// overdue is after how many times the usual work an answer counts as lost; spells of slowness take up to five.
	overdue = 4
	// refusedFor is how long an endpoint that refused for want of room is passed over: about half of the shortest work.
	refusedFor = 20 * time.Millisecond
	// failedFor is how long an endpoint that failed is passed over while others are left.
	failedFor = 300 * time.Millisecond
	// unansweredFor is how long an endpoint that left a look unanswered is passed over while others are left.
	unansweredFor = 500 * time.Millisecond
)

// Retain forgets the endpoints that are no longer listed.
func (s *Surveyor) Retain(endpoints []host.Host) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
	}
	isListed := func(id string) bool { return listed[id] }
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.known {
		if !listed[id] {
			delete(s.known, id)
		}
	}
	s.gate.Retain(isListed)
	s.reputation.Retain(isListed)
}

// errReplaced says that another endpoint answered at the address.
var errReplaced = errors.New("another endpoint answers at the address")
