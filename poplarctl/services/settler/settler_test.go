package settler_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/problem"
	"poplarhook.example/poplarctl/modules/requester"
	"poplarhook.example/poplarctl/services/settler"
)

// script answers each attempt by the next error, nil for an accepted change.
type script struct {
	answers []error
	asked   []string
}

func (s *script) Admins() []string { return []string{"a", "b"} }

func (s *script) Send(_ context.Context, admin string, _ requester.Request, into any) (int64, error) {
	s.asked = append(s.asked, admin)
	err := s.answers[0]
	s.answers = s.answers[1:]
	if err == nil {
		*into.(*index.Change) = index.Change{Revision: 5}
	}
	return 0, err
}

func refused(code string) error {
	return errors.Wrap(problem.New(400, code, "detail"), "a")
}

func TestSettle(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []error
		want    error
		code    string
	}{
		{"accepted", []error{nil}, nil, ""},
		{"next host", []error{requester.ErrNotSent, nil}, nil, ""},
		{"lost reply", []error{requester.ErrBroken, requester.ErrNotSent, refused(problem.CodeUnavailable), nil}, nil, ""},
		{"refused", []error{refused(problem.CodeInvalid)}, nil, problem.CodeInvalid},
		{"rival won", []error{requester.ErrNotSent, refused(problem.CodeConflict)}, nil, problem.CodeConflict},
		{"rival won after a lost reply", []error{requester.ErrBroken, refused(problem.CodeConflict)}, nil, problem.CodeConflict},
		{"refused after a lost reply", []error{requester.ErrBroken, refused(problem.CodeInvalid)}, settler.ErrUnknownOutcome, ""},
		{"never reached", []error{requester.ErrNotSent, refused(problem.CodeUnavailable)}, settler.ErrNotAccepted, ""},
		{"never settled", []error{refused(problem.CodeUnknownOutcome), refused(problem.CodeUnavailable)}, settler.ErrUnknownOutcome, ""},
		{"inner fault", []error{refused(problem.CodeInternal), requester.ErrNotSent}, settler.ErrUnknownOutcome, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &script{answers: test.answers}
			change, err := settler.New(s, time.Now, settler.WithPause(func(context.Context, time.Duration) error {
				if len(s.answers) == 0 {
					return context.DeadlineExceeded
				}
				return nil
			})).Settle(t.Context(), requester.Request{})
			var p problem.Problem
			switch {
			case test.want != nil:
				qt.Assert(t, err, qt.ErrorIs, test.want)
			case test.code != "":
				qt.Assert(t, errors.As(err, &p), qt.IsTrue)
				qt.Assert(t, p.Code, qt.Equals, test.code)
				qt.Assert(t, err, qt.Not(qt.ErrorIs), settler.ErrUnknownOutcome)
			default:
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, change.Revision, qt.Equals, int64(5))
			}
			qt.Assert(t, s.answers, qt.HasLen, 0)
			for i, admin := range s.asked {
				qt.Assert(t, admin, qt.Equals, s.Admins()[i%2])
			}
		})
	}
}

// slow takes a second of its own clock for each attempt and never accepts.
type slow struct {
	script
	now time.Time
}

func (s *slow) Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error) {
	s.now = s.now.Add(time.Second)
	return s.script.Send(ctx, admin, request, into)
}

func TestNoAttemptIsStartedThatWouldBeCut(t *testing.T) {
	s := &slow{now: time.Now(), script: script{answers: []error{refused(problem.CodeUnavailable), refused(problem.CodeUnavailable)}}}
	ctx, cancel := context.WithDeadline(t.Context(), s.now.Add(4*time.Second))
	defer cancel()
	atOnce := settler.WithPause(func(context.Context, time.Duration) error { return nil })
	_, err := settler.New(s, func() time.Time { return s.now }, atOnce).Settle(ctx, requester.Request{})
	qt.Assert(t, err, qt.ErrorIs, settler.ErrNotAccepted)
	qt.Assert(t, s.asked, qt.HasLen, 2)
}
