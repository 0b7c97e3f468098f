package runner

import (
	"context"
	"syscall"
	"time"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scheduler"
)

const (
	// outcomeBuffer lets requests end while the owner is busy.
	outcomeBuffer = 1024
	// timerGrain is how late a timer of the runtime may fire; the last part of a wait sleeps in the kernel instead.
	timerGrain = 2 * time.Millisecond
)

// Schedule yields arrivals in order of time until none is left.
type Schedule interface {
	Next() (scheduler.Arrival, bool)
}

// Sender sends the request of an arrival, counted from the start, and waits for its outcome.
type Sender interface {
	Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome
}

// Runner drives a schedule without waiting for answers.
type Runner struct {
	schedule Schedule
	sender   Sender
	clock    func() time.Time
	outcomes chan outcome.Outcome
	launched chan int
}

// New returns a runner of the schedule.
func New(schedule Schedule, sender Sender, clock func() time.Time) *Runner {
	return &Runner{
		schedule: schedule,
		sender:   sender,
		clock:    clock,
		outcomes: make(chan outcome.Outcome, outcomeBuffer),
		launched: make(chan int, 1),
	}
}

// Run sends every arrival at its time and returns all outcomes, those of a cancelled context included.
func (r *Runner) Run(ctx context.Context) []outcome.Outcome {
	go r.launch(ctx, r.clock())
	var outcomes []outcome.Outcome
	launched := -1
	for launched < 0 || len(outcomes) < launched {
		select {
		case seen := <-r.outcomes:
			outcomes = append(outcomes, seen)
		case launched = <-r.launched:
		}
	}
	return outcomes
}

// launch starts each request at its time and reports how many it started.
func (r *Runner) launch(ctx context.Context, start time.Time) {
	count := 0
	defer func() { r.launched <- count }()
	for {
		arrival, ok := r.schedule.Next()
		if !ok || !r.waitUntil(ctx, start.Add(arrival.Intended)) {
			return
		}
		count++
		go func() { r.outcomes <- r.sender.Send(ctx, arrival, start) }()
	}
}

func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	if coarse := at.Sub(r.clock()) - timerGrain; coarse > 0 {
		timer := time.NewTimer(coarse)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	r.sleepUntil(at)
	return ctx.Err() == nil
}

// sleepUntil sleeps in the kernel, which wakes within some 0.1 ms; signals may end a sleep early.
func (r *Runner) sleepUntil(at time.Time) {
	for rest := at.Sub(r.clock()); rest > 0; rest = at.Sub(r.clock()) {
		span := syscall.NsecToTimespec(rest.Nanoseconds())
		_ = syscall.Nanosleep(&span, nil)
	}
}
