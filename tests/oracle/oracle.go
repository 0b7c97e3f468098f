package oracle

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/recorder"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/standin/pacer"
	"poplarhook.example/tests/deployment"
)

const (
	meanServiceTime   = 4 * time.Millisecond
	slowFactor        = 6
	slowSpellLength   = 40 * time.Millisecond
	slowSpellInterval = 400 * time.Millisecond
)

// simulatedStart is the start of each run in simulated time.
var simulatedStart = time.Unix(1000, 0)

// Oracle sends each request on arrival to the endpoint that has the shortest queue in the region of its entry host.
//
// It is a simulation without network, processor time and connections. The arrivals are those of the bench, and the
// endpoints have the service times and slow spells of the noisy endpoints. It therefore has easier conditions than the
// measured policies.
type Oracle struct {
	deployment deployment.Deployment
	entries    int
	allRegions bool
}

// Option configures an Oracle.
type Option func(*Oracle)

// WithAllRegions lets requests go to any region, without network delay.
func WithAllRegions() Option {
	return func(o *Oracle) { o.allRegions = true }
}

// New returns an Oracle for the endpoints of a deployment and requests that arrive at the given number of entry hosts.
func New(d deployment.Deployment, entries int, options ...Option) *Oracle {
	o := &Oracle{deployment: d, entries: entries}
	for _, option := range options {
		option(o)
	}
	return o
}

// Run returns the result of the load under the simulated policy.
func (o *Oracle) Run(load scenario.Scenario, label string) (result.Result, error) {
	schedule, err := scheduler.New(load, o.entries, scheduler.RoundRobin)
	if err != nil {
		return result.Result{}, errors.Wrap(err, "oracle")
	}
	queues := o.queuesByRegion(load.Seed)
	results := recorder.New(load)
	for {
		arrival, ok := schedule.Next()
		if !ok {
			break
		}
		at := simulatedStart.Add(arrival.Intended)
		target := pickShortest(queues[o.regionOfEntry(arrival.Target)], at)
		results.Add(outcome.Outcome{
			RequestID: arrival.RequestID,
			Entry:     arrival.Entry,
			Kind:      outcome.Served,
			Intended:  arrival.Intended,
			Latency:   target.add(at).Sub(at),
		})
	}
	measured := results.Result()
	measured.Label = label
	measured.Targets = o.entries
	return measured, nil
}

func (o *Oracle) regionOfEntry(target int) string {
	if o.allRegions {
		return ""
	}
	return o.deployment.Entry(target).Region
}

// queuesByRegion returns the queues of the endpoints by region, or all of them under an empty name if requests may go
// to any region.
func (o *Oracle) queuesByRegion(seed uint64) map[string][]*endpointQueue {
	queues := make(map[string][]*endpointQueue)
	for i, endpoint := range o.deployment.Endpoints() {
		region := endpoint.Region
		if o.allRegions {
			region = ""
		}
		queues[region] = append(queues[region], newQueue(endpoint.Slots, seed<<16|uint64(i)))
	}
	return queues
}

// endpointQueue is one endpoint, which serves requests in the order of their arrival.
type endpointQueue struct {
	pace *pacer.Pacer
	// slotFreeAt contains the times at which the slots become free, in ascending order.
	slotFreeAt []time.Time
	// finishTimes contains the times at which the running and waiting requests are answered.
	finishTimes []time.Time
	// lastChosen is the number of the choice that last picked this queue, counted by pickShortest.
	lastChosen int
}

func newQueue(slots int, seed uint64) *endpointQueue {
	return &endpointQueue{
		pace:       pacer.New(seed, meanServiceTime, simulatedStart, pacer.WithSpells(slowFactor, slowSpellLength, slowSpellInterval)),
		slotFreeAt: make([]time.Time, slots),
	}
}

// length returns how many requests are running or waiting at the given time.
func (q *endpointQueue) length(now time.Time) int {
	q.finishTimes = slices.DeleteFunc(q.finishTimes, func(end time.Time) bool { return !end.After(now) })
	return len(q.finishTimes)
}

// add enqueues a request and returns the time at which it is answered.
func (q *endpointQueue) add(now time.Time) time.Time {
	begin := q.slotFreeAt[0]
	if begin.Before(now) {
		begin = now
	}
	end := q.pace.Finish(begin, q.pace.Draw())
	q.slotFreeAt[0] = end
	slices.SortFunc(q.slotFreeAt, time.Time.Compare)
	q.finishTimes = append(q.finishTimes, end)
	return end
}

// pickShortest returns the queue with the fewest requests; of equal queues, the one that was picked least recently.
func pickShortest(queues []*endpointQueue, now time.Time) *endpointQueue {
	last := 0
	for _, q := range queues {
		last = max(last, q.lastChosen)
	}
	best := slices.MinFunc(queues, func(a, b *endpointQueue) int {
		return cmp.Or(cmp.Compare(a.length(now), b.length(now)), cmp.Compare(a.lastChosen, b.lastChosen))
	})
	best.lastChosen = last + 1
	return best
}
