package settler

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
	// ErrNotAccepted means that the change was not accepted in time, and will not be.
	ErrNotAccepted = errors.New("not accepted")
	// ErrUnknownOutcome means that the change may have been accepted; asking with its id tells later.
	ErrUnknownOutcome = errors.New("outcome unknown, ask again with the same change id")
)

const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 2 * time.Second
	// spare is the time that must be left beyond twice the longest attempt.
	spare = 500 * time.Millisecond
)

// Sender makes one attempt at one entry host.
type Sender interface {
	Admins() []string
	Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error)
}

// Settler repeats a change, which its id makes idempotent, until its outcome is known.
type Settler struct {
	sender Sender
	clock  func() time.Time
	pause  func(ctx context.Context, wait time.Duration) error
}

// Option changes how a Settler is built.
type Option func(*Settler)

// WithPause sets how the settler waits between two rounds over the entry hosts.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(s *Settler) { s.pause = pause }
}

// New returns a settler that takes the present time from the clock.
func New(sender Sender, clock func() time.Time, options ...Option) *Settler {
	s := &Settler{sender: sender, clock: clock, pause: pauser.Pause}
	for _, option := range options {
		option(s)
	}
	return s
}

// Settle sends a change to the entry hosts in turn until one answers for good
// or the context ends. The error is a problem.Problem for a refusal,
// ErrNotAccepted or ErrUnknownOutcome.
func (s *Settler) Settle(ctx context.Context, request requester.Request) (index.Change, error) {
	if len(s.sender.Admins()) == 0 {
		return index.Change{}, requester.ErrNoAdmin
	}
	c := course{sender: s.sender, clock: s.clock, request: request}
	for wait := shortestPause; ; wait = min(2*wait, longestPause) {
		if change, done, err := c.round(ctx); done {
			return change, err
		}
		if err := s.pause(ctx, wait); err != nil {
			return index.Change{}, c.outOfTime()
		}
	}
}

// course is what has been learned of one change.
type course struct {
	sender  Sender
	clock   func() time.Time
	request requester.Request
	// longest is the time of the longest attempt so far.
	longest time.Duration
	// ambiguous is set once an attempt may have been accepted without its answer arriving.
	ambiguous bool
	last      error
}

func (c *course) round(ctx context.Context) (index.Change, bool, error) {
	for _, admin := range c.sender.Admins() {
		if ctx.Err() != nil || c.wouldBeCut(ctx) {
			return index.Change{}, true, c.outOfTime()
		}
		change, err := c.try(ctx, admin)
		if err == nil {
			return change, true, nil
		}
		if final := c.learn(err); final != nil {
			return index.Change{}, true, final
		}
	}
	return index.Change{}, false, nil
}

func (c *course) try(ctx context.Context, admin string) (index.Change, error) {
	var change index.Change
	started := c.clock()
	_, err := c.sender.Send(ctx, admin, c.request, &change)
	c.longest = max(c.longest, c.clock().Sub(started))
	return change, err
}

// wouldBeCut reports whether another attempt may outlast the context, which
// would make a known outcome an unknown one; the first is always made.
func (c *course) wouldBeCut(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return limited && c.longest > 0 && c.clock().Add(2*c.longest+spare).After(deadline)
}

// learn notes a failed attempt and returns the error that ends the course, if it does.
func (c *course) learn(err error) error {
	c.last = err
	var p problem.Problem
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return nil
	case !errors.As(err, &p) || p.Code == problem.CodeUnknownOutcome || p.Code == problem.CodeInternal:
		c.ambiguous = true
		return nil
	case p.Code == problem.CodeUnavailable:
		return nil
	case p.Code == problem.CodeConflict || p.Code == problem.CodeChangeIDUsed:
		// These hold for every earlier attempt with the same id and base as well.
		return err
	case c.ambiguous:
		return errors.Wrapf(ErrUnknownOutcome, "an attempt went unanswered, a later one was refused: %v", err)
	}
	return err
}

func (c *course) outOfTime() error {
	if c.ambiguous {
		return errors.Wrapf(ErrUnknownOutcome, "%v", c.last)
	}
	return errors.Wrapf(ErrNotAccepted, "%v", c.last)
}
