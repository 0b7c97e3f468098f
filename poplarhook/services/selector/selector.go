package selector

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/coldlimiter"
	"poplarhook.example/poplarhook/models/estimator"
	"poplarhook.example/poplarhook/models/excluder"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/probebudget"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/reputation"
	"poplarhook.example/poplarhook/models/shedder"
)

// source returns the endpoints of a group that may get new requests; they are called open.
type source interface {
	OpenEndpoints(now time.Time, g group.Group) []host.Host
}

// prober sends a probe to an endpoint and returns the state that the endpoint reports.
type prober interface {
	Probe(ctx context.Context, endpoint host.Host) report.Report
}

// Selector selects endpoints by what they report when a request arrives. It is safe for concurrent use.
type Selector struct {
	clock  func() time.Time
	source source
	prober prober
	self   string
	region string
	// coldSharers returns how many entry hosts share the rate of a cold endpoint and whether this host is one of them.
	coldSharers func(endpoint host.Host) (sharers int, included bool)
	// probeRate returns how many probes per second this host may send, zero for no limit.
	probeRate func() float64
	logger    *zap.Logger
	counter   func(event string)
	// versions is nil where requests are not split among the versions of a service.
	versions versions
	// shedder is nil where requests are not admitted by cost.
	shedder *shedder.Shedder
	// background is the context of probes, which may outlast the requests that started them.
	background context.Context

	mu          sync.Mutex
	random      *rand.Rand
	states      map[string]*endpointState
	probeBudget *probebudget.Budget
	coldLimiter *coldlimiter.Limiter
	reputation  *reputation.Reputation
	excluder    *excluder.Excluder
	estimator   *estimator.Estimator
	// roundTrips holds the network round-trip time to each region.
	roundTrips map[string]time.Duration
}

// Option changes how a Selector is built.
type Option func(*Selector)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(s *Selector) { s.clock = clock }
}

// WithSeed sets the seed of the random numbers that order endpoints with equal estimates.
func WithSeed(seed uint64) Option {
	return func(s *Selector) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithColdSharers sets how many entry hosts share the rate of a cold endpoint and whether this host is one of them.
func WithColdSharers(sharers func(endpoint host.Host) (sharers int, included bool)) Option {
	return func(s *Selector) { s.coldSharers = sharers }
}

// WithProbeRate sets how many probes per second this host may send.
func WithProbeRate(perSecond func() float64) Option {
	return func(s *Selector) { s.probeRate = perSecond }
}

// WithLogger sets the logger for selected endpoints and refusals.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Selector) { s.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(s *Selector) { s.counter = count }
}

// New returns a Selector for the entry host in the region; probes end with the context.
func New(ctx context.Context, self, region string, endpoints source, p prober, options ...Option) *Selector {
	s := &Selector{
		background:  ctx,
		clock:       time.Now,
		source:      endpoints,
		prober:      p,
		self:        self,
		region:      region,
		coldSharers: func(host.Host) (int, bool) { return 1, true },
		logger:      zap.NewNop(),
		counter:     func(string) {},
		random:      rand.New(rand.NewPCG(1, 1)),
		states:      make(map[string]*endpointState),
		probeRate:   func() float64 { return 0 },
		probeBudget: probebudget.New(),
		coldLimiter: coldlimiter.New(),
		reputation:  reputation.New(),
		excluder:    excluder.New(),
		estimator:   estimator.New(),
		roundTrips:  make(map[string]time.Duration),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Finish releases the binding and updates the state of its endpoint with the outcome of the exchange.
func (s *Selector) Finish(b binding.Binding, r report.Report) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(&b.Endpoint)
	if s.versions != nil {
		s.versions.Finish(b, r, e.isCold(now), s.roundTrips[b.Endpoint.Region])
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.record(now, r)
	if s.shedder != nil {
		s.shedder.Free(now, b.Group.Service)
		s.shedder.WakeFirst(b.Group.Service)
	}
	switch {
	case r.Misdirected:
		e.replaced = true
	case r.Refused:
		e.avoidUntil = now.Add(avoidAfterRefusal)
	case r.Cancelled && !s.isOverdue(b, r.Latency):
		// The caller left early or another attempt answered first, which shows nothing about the endpoint.
	case r.Cancelled:
		s.reputation.Record(now, b.Endpoint.ID, true)
	case r.Err != nil:
		s.reputation.Record(now, b.Endpoint.ID, true)
		e.avoidUntil = now.Add(avoidAfterFailure)
	default:
		s.reputation.Record(now, b.Endpoint.ID, r.Status >= 500)
		if b.HadFreeSlot && r.Status < 500 && (s.shedder == nil || !isBusy(r)) {
			s.estimator.Record(b.Class, r.Latency-s.roundTrips[b.Endpoint.Region], b.SlowFactor)
		}
	}
}

// isBusy reports whether the endpoint has a queue or no free slot at the end of an exchange. Its latency then often
// includes a wait for the slot that another host took first, and would raise the service time during an overload.
func isBusy(r report.Report) bool {
	return r.HasLoad && (r.Waiting > 0 || r.InFlight >= max(r.Slots, 1))
}

// isOverdue reports whether an answer that has not come after the given time counts as lost. The caller holds the lock.
func (s *Selector) isOverdue(b binding.Binding, waited time.Duration) bool {
	serviceTime := s.estimator.ServiceTime(b.Class, 0)
	usual := time.Duration(float64(serviceTime) * max(b.SlowFactor, 1))
	return serviceTime > 0 && waited > overdueFactor*usual
}

const (
	// overdueFactor is the multiple of the usual service time after which a missing answer counts as lost; in slow
	// periods, endpoints take up to five times as long as usual.
	overdueFactor = 4
	// avoidAfterRefusal is how long an endpoint that refused a request for lack of capacity is avoided: about half of
	// the shortest service time.
	avoidAfterRefusal = 20 * time.Millisecond
	// avoidAfterFailure is how long an endpoint that failed is avoided while others are left.
	avoidAfterFailure = 300 * time.Millisecond
	// avoidAfterNoAnswer is how long an endpoint that did not answer a probe is avoided while others are left.
	avoidAfterNoAnswer = 500 * time.Millisecond
)

// Retain drops the state of all endpoints except the given ones.
func (s *Selector) Retain(endpoints []host.Host) {
	listed := make(map[string]bool, len(endpoints))
	incarnations := make(map[string]string, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		incarnations[e.ID] = e.Incarnation
	}
	isListed := func(id string) bool { return listed[id] }
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.states {
		if !listed[id] {
			delete(s.states, id)
		}
	}
	s.coldLimiter.Retain(isListed)
	s.reputation.Retain(isListed)
	s.excluder.Retain(s.clock(), func(id string) (string, bool) { return incarnations[id], listed[id] })
}

// errReplaced is the result of a probe that another endpoint answered at the address.
var errReplaced = errors.New("another endpoint answers at the address")
