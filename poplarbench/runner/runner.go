package runner

import (
	"context"
	"syscall"
	"time"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scheduler"
)

const (
	// outcomeBuffer is the number of outcomes that can be queued while Run processes earlier ones.
	outcomeBuffer = 1024
	// timerResolution is how late a timer of the Go runtime may fire. The last part of a wait therefore sleeps in the
	// kernel.
	timerResolution = 2 * time.Millisecond
)

// Schedule returns arrivals in order of time, and false once none is left.
type Schedule interface {
	Next() (scheduler.Arrival, bool)
}

// Sender sends the request of an arrival, whose intended time counts from the start, and waits for its outcome.
type Sender interface {
	Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome
}

// Runner sends the requests of a schedule at their intended times, without waiting for earlier answers.
type Runner struct {
	schedule      Schedule
	sender        Sender
	clock         func() time.Time
	outcomes      chan outcome.Outcome
	launchedCount chan int
}

// New returns a runner that sends the requests of the schedule through the sender.
func New(schedule Schedule, sender Sender, clock func() time.Time) *Runner {
	return &Runner{
		schedule:      schedule,
		sender:        sender,
		clock:         clock,
		outcomes:      make(chan outcome.Outcome, outcomeBuffer),
		launchedCount: make(chan int, 1),
	}
}

// Run sends every request at its intended time and returns the outcomes of all requests that were sent. Once the
// context ends, it sends no more requests.
func (r *Runner) Run(ctx context.Context) []outcome.Outcome {
	go r.launch(ctx, r.clock())
	var outcomes []outcome.Outcome
	total := -1
	for total < 0 || len(outcomes) < total {
		select {
		case received := <-r.outcomes:
			outcomes = append(outcomes, received)
		case total = <-r.launchedCount:
		}
	}
	return outcomes
}

// launch starts each request at its intended time and reports how many it started.
func (r *Runner) launch(ctx context.Context, start time.Time) {
	count := 0
	defer func() { r.launchedCount <- count }()
	for {
		arrival, ok := r.schedule.Next()
		if !ok || !r.waitUntil(ctx, start.Add(arrival.Intended)) {
			return
		}
		count++
		go func() { r.outcomes <- r.sender.Send(ctx, arrival, start) }()
	}
}

// waitUntil waits until the given time and reports whether the context is still active.
func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	if timerWait := at.Sub(r.clock()) - timerResolution; timerWait > 0 {
		timer := time.NewTimer(timerWait)
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

// sleepUntil sleeps in the kernel, which is accurate to about 0.1 ms. It repeats the sleep because signals may end it
// early.
func (r *Runner) sleepUntil(at time.Time) {
	for remaining := at.Sub(r.clock()); remaining > 0; remaining = at.Sub(r.clock()) {
		timespec := syscall.NsecToTimespec(remaining.Nanoseconds())
		_ = syscall.Nanosleep(&timespec, nil)
	}
}
