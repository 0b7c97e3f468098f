package submitter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/lib/problem"
	"poplarhook.example/poplarctl/modules/requester"
)

var (
	// ErrNotAccepted means that the change was not accepted in time and will not be accepted later.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknownOutcome means that the change may have been accepted. A retry with the same change id can find out.
	ErrUnknownOutcome = errors.New("outcome unknown; retry with the same change id")
)

const (
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// deadlineMargin is the time that must remain before the deadline, beyond twice the longest attempt, to start
	// another attempt.
	deadlineMargin = 500 * time.Millisecond
)

// Sender sends a request once to one of the entry hosts at the base URLs that Admins returns.
type Sender interface {
	Admins() []string
	Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error)
}

// Submitter retries a change until its outcome is known. The change id makes the change idempotent.
type Submitter struct {
	sender Sender
	clock  func() time.Time
	pause  func(ctx context.Context, wait time.Duration) error
}

// Option configures a Submitter.
type Option func(*Submitter)

// WithPause sets the function that waits between two rounds of attempts at all entry hosts.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(s *Submitter) { s.pause = pause }
}

// New returns a submitter that reads the current time from the clock.
func New(sender Sender, clock func() time.Time, options ...Option) *Submitter {
	s := &Submitter{sender: sender, clock: clock, pause: pauser.Pause}
	for _, option := range options {
		option(s)
	}
	return s
}

// Submit sends a change to the entry hosts in turn until one gives a final answer or the context ends. The error wraps
// a problem.Problem for a refusal, ErrNotAccepted or ErrUnknownOutcome, or is requester.ErrNoAdmin.
func (s *Submitter) Submit(ctx context.Context, request requester.Request) (index.Change, error) {
	if len(s.sender.Admins()) == 0 {
		return index.Change{}, requester.ErrNoAdmin
	}
	c := submission{sender: s.sender, clock: s.clock, request: request}
	for wait := minPause; ; wait = min(2*wait, maxPause) {
		if change, done, err := c.tryEachHost(ctx); done {
			return change, err
		}
		if err := s.pause(ctx, wait); err != nil {
			return index.Change{}, c.newTimeoutError()
		}
	}
}

// submission is the state of submitting one change.
type submission struct {
	sender  Sender
	clock   func() time.Time
	request requester.Request
	// longestAttempt is the duration of the longest attempt so far.
	longestAttempt time.Duration
	// mayBeAccepted is true once the change may have been accepted by an attempt whose outcome was not received.
	mayBeAccepted bool
	lastErr       error
}

// tryEachHost sends the change to the entry hosts in turn. It returns true if the submission has ended, with the change
// or a final error, and false if a further round may find the outcome.
func (c *submission) tryEachHost(ctx context.Context) (index.Change, bool, error) {
	for _, admin := range c.sender.Admins() {
		if ctx.Err() != nil || c.mayExceedDeadline(ctx) {
			return index.Change{}, true, c.newTimeoutError()
		}
		change, err := c.sendAttempt(ctx, admin)
		if err == nil {
			return change, true, nil
		}
		if final := c.recordFailure(err); final != nil {
			return index.Change{}, true, final
		}
	}
	return index.Change{}, false, nil
}

// sendAttempt sends the change once to one entry host, and updates longestAttempt.
func (c *submission) sendAttempt(ctx context.Context, admin string) (index.Change, error) {
	var change index.Change
	started := c.clock()
	_, err := c.sender.Send(ctx, admin, c.request, &change)
	c.longestAttempt = max(c.longestAttempt, c.clock().Sub(started))
	return change, err
}

// mayExceedDeadline reports whether another attempt may run past the deadline of the context, which would turn a known
// outcome into an unknown one. It is false until the first attempt has been made.
func (c *submission) mayExceedDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && c.longestAttempt > 0 && c.clock().Add(2*c.longestAttempt+deadlineMargin).After(deadline)
}

// recordFailure keeps the error of an attempt for newTimeoutError. It sets mayBeAccepted if the attempt's outcome is
// unknown, and returns a final error if the refusal ends the submission.
func (c *submission) recordFailure(err error) error {
	c.lastErr = err
	var p problem.Problem
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return nil
	case !errors.As(err, &p) || p.Code == problem.CodeUnknownOutcome || p.Code == problem.CodeInternal:
		c.mayBeAccepted = true
		return nil
	case p.Code == problem.CodeUnavailable:
		return nil
	case p.Code == problem.CodeConflict || p.Code == problem.CodeChangeIDUsed:
		// These refusals apply to every earlier attempt with the same change id and base revision as well.
		return err
	case c.mayBeAccepted:
		return errors.Wrapf(ErrUnknownOutcome, "an earlier attempt had no known outcome, a later one was refused: %v", err)
	}
	return err
}

// newTimeoutError returns the error of a submission that ran out of time: ErrUnknownOutcome if the change may have been
// accepted, and ErrNotAccepted otherwise.
func (c *submission) newTimeoutError() error {
	if c.mayBeAccepted {
		return errors.Wrapf(ErrUnknownOutcome, "%v", c.lastErr)
	}
	return errors.Wrapf(ErrNotAccepted, "%v", c.lastErr)
}
