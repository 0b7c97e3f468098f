package submitter_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/problem"
	"poplarhook.example/poplarctl/modules/requester"
	"poplarhook.example/poplarctl/services/submitter"
)

// scriptedSender answers each attempt with the next error of the list; nil stands for an accepted change.
type scriptedSender struct {
	answers   []error
	attempted []string
}

func (s *scriptedSender) Admins() []string { return []string{"a", "b"} }

func (s *scriptedSender) Send(_ context.Context, admin string, _ requester.Request, into any) (int64, error) {
	s.attempted = append(s.attempted, admin)
	err := s.answers[0]
	s.answers = s.answers[1:]
	if err == nil {
		*into.(*index.Change) = index.Change{Revision: 5}
	}
	return 0, err
}

func refusal(code string) error {
	return errors.Wrap(problem.New(400, code, "detail"), "a")
}

func TestSubmit(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []error
		want    error
		code    string
	}{
		{"accepted", []error{nil}, nil, ""},
		{"next host", []error{requester.ErrNotSent, nil}, nil, ""},
		{"lost reply", []error{requester.ErrIncompleteResponse, requester.ErrNotSent, refusal(problem.CodeUnavailable), nil}, nil, ""},
		{"refused", []error{refusal(problem.CodeInvalid)}, nil, problem.CodeInvalid},
		{"conflict", []error{requester.ErrNotSent, refusal(problem.CodeConflict)}, nil, problem.CodeConflict},
		{"conflict after a lost reply", []error{requester.ErrIncompleteResponse, refusal(problem.CodeConflict)}, nil, problem.CodeConflict},
		{"refused after a lost reply", []error{requester.ErrIncompleteResponse, refusal(problem.CodeInvalid)}, submitter.ErrUnknownOutcome, ""},
		{"never reached", []error{requester.ErrNotSent, refusal(problem.CodeUnavailable)}, submitter.ErrNotAccepted, ""},
		{"outcome never known", []error{refusal(problem.CodeUnknownOutcome), refusal(problem.CodeUnavailable)}, submitter.ErrUnknownOutcome, ""},
		{"internal error", []error{refusal(problem.CodeInternal), requester.ErrNotSent}, submitter.ErrUnknownOutcome, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &scriptedSender{answers: test.answers}
			change, err := submitter.New(s, time.Now, submitter.WithPause(func(context.Context, time.Duration) error {
				if len(s.answers) == 0 {
					return context.DeadlineExceeded
				}
				return nil
			})).Submit(t.Context(), requester.Request{})
			var p problem.Problem
			switch {
			case test.want != nil:
				qt.Assert(t, err, qt.ErrorIs, test.want)
			case test.code != "":
				qt.Assert(t, errors.As(err, &p), qt.IsTrue)
				qt.Assert(t, p.Code, qt.Equals, test.code)
				qt.Assert(t, err, qt.Not(qt.ErrorIs), submitter.ErrUnknownOutcome)
			default:
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, change.Revision, qt.Equals, int64(5))
			}
			qt.Assert(t, s.answers, qt.HasLen, 0)
			for i, admin := range s.attempted {
				qt.Assert(t, admin, qt.Equals, s.Admins()[i%2])
			}
		})
	}
}

// slowSender advances its own clock by one second for each attempt and then answers as scripted.
type slowSender struct {
	scriptedSender
	now time.Time
}

func (s *slowSender) Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error) {
	s.now = s.now.Add(time.Second)
	return s.scriptedSender.Send(ctx, admin, request, into)
}

func TestSubmitStartsNoAttemptThatMayExceedDeadline(t *testing.T) {
	s := &slowSender{now: time.Now(), scriptedSender: scriptedSender{answers: []error{refusal(problem.CodeUnavailable), refusal(problem.CodeUnavailable)}}}
	ctx, cancel := context.WithDeadline(t.Context(), s.now.Add(4*time.Second))
	defer cancel()
	noPause := submitter.WithPause(func(context.Context, time.Duration) error { return nil })
	_, err := submitter.New(s, func() time.Time { return s.now }, noPause).Submit(ctx, requester.Request{})
	qt.Assert(t, err, qt.ErrorIs, submitter.ErrNotAccepted)
	qt.Assert(t, s.attempted, qt.HasLen, 2)
}
