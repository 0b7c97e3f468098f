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
	meanService   = 4 * time.Millisecond
	spellFactor   = 6
	spellLength   = 40 * time.Millisecond
	spellInterval = 400 * time.Millisecond
)

// start is the model's own time of the start of a run.
var start = time.Unix(1000, 0)

// Oracle sends each arrival at once to the endpoint with the truly shortest queue of its region.
//
// It is a model: no network, no processor time, no connections. It has the
// arrivals of the bench and the noisy endpoints' paces, so it is an easier
// world than the one that the other policies are measured in.
type Oracle struct {
	deployment deployment.Deployment
	entries    int
	everywhere bool
}

// Option changes how an Oracle is built.
type Option func(*Oracle)

// WithEverywhere lets a request go to any region, at no cost of distance.
func WithEverywhere() Option {
	return func(o *Oracle) { o.everywhere = true }
}

// New returns an Oracle over a deployment's endpoints for arrivals at a number of entry hosts.
func New(d deployment.Deployment, entries int, options ...Option) *Oracle {
	o := &Oracle{deployment: d, entries: entries}
	for _, option := range options {
		option(o)
	}
	return o
}

// Run returns what the load would measure.
func (o *Oracle) Run(load scenario.Scenario, label string) (result.Result, error) {
	schedule, err := scheduler.New(load, o.entries, scheduler.RoundRobin)
	if err != nil {
		return result.Result{}, errors.Wrap(err, "oracle")
	}
	queues := o.queues(load.Seed)
	record := recorder.New(load)
	for {
		arrival, more := schedule.Next()
		if !more {
			break
		}
		at := start.Add(arrival.Intended)
		q := shortest(queues[o.regionOf(arrival.Target)], at)
		record.Add(outcome.Outcome{
			RequestID: arrival.RequestID,
			Entry:     arrival.Entry,
			Kind:      outcome.Served,
			Intended:  arrival.Intended,
			Latency:   q.add(at).Sub(at),
		})
	}
	measured := record.Result()
	measured.Label = label
	measured.Targets = o.entries
	return measured, nil
}

func (o *Oracle) regionOf(target int) string {
	if o.everywhere {
		return ""
	}
	return o.deployment.Entry(target).Region
}

// queues returns the endpoints' queues by region.
func (o *Oracle) queues(seed uint64) map[string][]*queue {
	queues := make(map[string][]*queue)
	for i, endpoint := range o.deployment.Endpoints() {
		region := endpoint.Region
		if o.everywhere {
			region = ""
		}
		queues[region] = append(queues[region], newQueue(endpoint.Slots, seed<<16|uint64(i)))
	}
	return queues
}

// queue is one endpoint that serves in the order of arrival.
type queue struct {
	pace *pacer.Pacer
	// free holds when each slot is free, rising.
	free []time.Time
	// ends holds when the requests that it has are answered.
	ends []time.Time
	last int
}

func newQueue(slots int, seed uint64) *queue {
	return &queue{
		pace: pacer.New(seed, meanService, start, pacer.WithSpells(spellFactor, spellLength, spellInterval)),
		free: make([]time.Time, slots),
	}
}

// length returns how many requests the endpoint has at the time, running or waiting.
func (q *queue) length(now time.Time) int {
	q.ends = slices.DeleteFunc(q.ends, func(end time.Time) bool { return !end.After(now) })
	return len(q.ends)
}

// add takes a request in and returns when it is answered.
func (q *queue) add(now time.Time) time.Time {
	begin := q.free[0]
	if begin.Before(now) {
		begin = now
	}
	end := q.pace.Finish(begin, q.pace.Draw())
	q.free[0] = end
	slices.SortFunc(q.free, time.Time.Compare)
	q.ends = append(q.ends, end)
	return end
}

// shortest returns the queue with the fewest requests, of equal ones that chosen longest ago.
func shortest(queues []*queue, now time.Time) *queue {
	last := 0
	for _, q := range queues {
		last = max(last, q.last)
	}
	best := slices.MinFunc(queues, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.length(now), b.length(now)), cmp.Compare(a.last, b.last))
	})
	best.last = last + 1
	return best
}
