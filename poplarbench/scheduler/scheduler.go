package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/scenario"
)

// Ways to choose the target of an arrival.
const (
	RoundRobin = "round_robin"
	Random     = "random"
)

// ErrTargets is returned for a way to choose targets that does not exist, or for none to choose from.
var ErrTargets = errors.New("invalid targets")

// Each draw has a stream of its own, so that one choice leaves the others as they are.
const (
	arrivalStream = iota
	mixStream
	targetStream
	idStream
)

// Arrival is one request that the schedule wants sent.
type Arrival struct {
	RequestID string
	// Intended counts from the start of the run.
	Intended time.Duration
	// Entry is the place in the scenario's mix.
	Entry int
	// Target is the place in the list of targets.
	Target int
}

// Scheduler yields the arrivals of a scenario in order of time.
type Scheduler struct {
	scenario scenario.Scenario
	targets  int
	random   bool
	weights  int64
	next     time.Duration
	count    int
	arrivals *rand.Rand
	mix      *rand.Rand
	target   *rand.Rand
	ids      *byteReader
}

// New returns the schedule of the scenario over a number of targets, chosen by RoundRobin or Random.
func New(s scenario.Scenario, targets int, choice string) (*Scheduler, error) {
	if targets < 1 {
		return nil, errors.Wrapf(ErrTargets, "number of targets %d: allowed 1 or more", targets)
	}
	if choice != RoundRobin && choice != Random {
		return nil, errors.Wrapf(ErrTargets, "choice of target %q: allowed %s, %s", choice, RoundRobin, Random)
	}
	scheduler := &Scheduler{
		scenario: s,
		targets:  targets,
		random:   choice == Random,
		arrivals: rand.New(rand.NewPCG(s.Seed, arrivalStream)),
		mix:      rand.New(rand.NewPCG(s.Seed, mixStream)),
		target:   rand.New(rand.NewPCG(s.Seed, targetStream)),
		ids:      &byteReader{source: rand.New(rand.NewPCG(s.Seed, idStream))},
	}
	for _, entry := range s.Mix {
		scheduler.weights += entry.Weight
	}
	scheduler.next = scheduler.gap()
	return scheduler, nil
}

// Next returns the next arrival, or false when the scenario's time is over.
func (s *Scheduler) Next() (Arrival, bool) {
	if s.next >= s.scenario.Duration() {
		return Arrival{}, false
	}
	arrival := Arrival{
		RequestID: uuid.Must(uuid.NewRandomFromReader(s.ids)).String(),
		Intended:  s.next,
		Entry:     s.drawEntry(),
		Target:    s.drawTarget(),
	}
	s.count++
	s.next += s.gap()
	return arrival, true
}

func (s *Scheduler) gap() time.Duration {
	mean := float64(time.Second) / s.scenario.RatePerS
	if s.scenario.Arrivals == scenario.Constant {
		return time.Duration(mean)
	}
	return time.Duration(s.arrivals.ExpFloat64() * mean)
}

func (s *Scheduler) drawEntry() int {
	draw := s.mix.Int64N(s.weights)
	for i, entry := range s.scenario.Mix {
		draw -= entry.Weight
		if draw < 0 {
			return i
		}
	}
	return len(s.scenario.Mix) - 1
}

func (s *Scheduler) drawTarget() int {
	if s.random {
		return s.target.IntN(s.targets)
	}
	return s.count % s.targets
}
