package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/scenario"
)

// Methods of choosing the target of an arrival.
const (
	RoundRobin = "round_robin"
	Random     = "random"
)

// ErrInvalidTargets is returned for an unknown method of choosing targets, or if there are no targets.
var ErrInvalidTargets = errors.New("invalid targets")

// Each kind of draw has its own random stream, so that a change of one does not affect the others.
const (
	arrivalStream = iota
	mixStream
	targetStream
	idStream
)

// Arrival is one scheduled request.
type Arrival struct {
	RequestID string
	// Intended is the scheduled send time, counted from the start of the run.
	Intended time.Duration
	// Entry is the index in the scenario's mix.
	Entry int
	// Target is the index in the list of targets.
	Target int
}

// Scheduler generates the arrivals of a scenario in order of time.
type Scheduler struct {
	scenario        scenario.Scenario
	targetCount     int
	choosesRandomly bool
	totalWeight     int64
	nextIntended    time.Duration
	arrivalCount    int
	arrivalRandom   *rand.Rand
	mixRandom       *rand.Rand
	targetRandom    *rand.Rand
	requestIDBytes  *byteReader
}

// New returns a scheduler for the scenario and a number of targets. The choice of targets is RoundRobin or Random.
func New(s scenario.Scenario, targets int, choice string) (*Scheduler, error) {
	if targets < 1 {
		return nil, errors.Wrapf(ErrInvalidTargets, "number of targets %d: allowed 1 or more", targets)
	}
	if choice != RoundRobin && choice != Random {
		return nil, errors.Wrapf(ErrInvalidTargets, "choice of target %q: allowed %s, %s", choice, RoundRobin, Random)
	}
	scheduler := &Scheduler{
		scenario:        s,
		targetCount:     targets,
		choosesRandomly: choice == Random,
		arrivalRandom:   rand.New(rand.NewPCG(s.Seed, arrivalStream)),
		mixRandom:       rand.New(rand.NewPCG(s.Seed, mixStream)),
		targetRandom:    rand.New(rand.NewPCG(s.Seed, targetStream)),
		requestIDBytes:  &byteReader{source: rand.New(rand.NewPCG(s.Seed, idStream))},
	}
	for _, entry := range s.Mix {
		scheduler.totalWeight += entry.Weight
	}
	scheduler.nextIntended = scheduler.drawGap()
	return scheduler, nil
}

// Next returns the next arrival, or false once the duration of the scenario is over.
func (s *Scheduler) Next() (Arrival, bool) {
	if s.nextIntended >= s.scenario.Duration() {
		return Arrival{}, false
	}
	arrival := Arrival{
		RequestID: uuid.Must(uuid.NewRandomFromReader(s.requestIDBytes)).String(),
		Intended:  s.nextIntended,
		Entry:     s.drawEntry(),
		Target:    s.drawTarget(),
	}
	s.arrivalCount++
	s.nextIntended += s.drawGap()
	return arrival, true
}

// drawGap returns the time between two arrivals.
func (s *Scheduler) drawGap() time.Duration {
	mean := float64(time.Second) / s.scenario.RatePerS
	if s.scenario.Arrivals == scenario.Constant {
		return time.Duration(mean)
	}
	return time.Duration(s.arrivalRandom.ExpFloat64() * mean)
}

func (s *Scheduler) drawEntry() int {
	draw := s.mixRandom.Int64N(s.totalWeight)
	for i, entry := range s.scenario.Mix {
		draw -= entry.Weight
		if draw < 0 {
			return i
		}
	}
	return len(s.scenario.Mix) - 1
}

func (s *Scheduler) drawTarget() int {
	if s.choosesRandomly {
		return s.targetRandom.IntN(s.targetCount)
	}
	return s.arrivalCount % s.targetCount
}
