package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/services/dispatcher"
)

// contextBody is a body whose reads fail once the context of its request has ended.
type contextBody struct {
	io.Reader

	ctx context.Context
}

func (b contextBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(p)
}

func (contextBody) Close() error { return nil }

const longBody = 300 << 10

// answerWithLongBodyAfter answers after the given time with a body that is longer than the part
// that is read before the caller gets the head.
func answerWithLongBodyAfter(after time.Duration) func(context.Context) (*http.Response, error) {
	return func(ctx context.Context) (*http.Response, error) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(after):
		}
		return &http.Response{
			StatusCode:    http.StatusOK,
			Header:        http.Header{},
			ContentLength: longBody,
			Body:          contextBody{strings.NewReader(strings.Repeat("x", longBody)), ctx},
		}, nil
	}
}

// When two attempts answer at about the same time, the caller must get one complete answer
// and the other attempt must be cancelled.
func TestSimultaneousAnswersOfHedgeAndFirstAttempt(t *testing.T) {
	c := quicktest.New(t)
	for i := range 100 {
		s := &fakeSender{script: map[string]func(context.Context) (*http.Response, error){
			"a": answerWithLongBodyAfter(time.Millisecond + time.Duration(i)*10*time.Microsecond),
			"b": answerWithLongBodyAfter(500 * time.Microsecond),
		}}
		b := &fakeBinder{}
		d := dispatcher.New(b, s, oneGroupPlanner{}, dispatcher.WithHedges(fixedHedgeTimer{time.Millisecond}, fixedBudget{true}))
		a, err := d.Dispatch(context.Background(), newJob(class.Idempotent))
		c.Assert(err, quicktest.IsNil)
		rest, err := io.ReadAll(a.Rest)
		c.Assert(err, quicktest.IsNil)
		c.Assert(len(a.Start)+len(rest), quicktest.Equals, longBody)
		a.Close()
		c.Assert(b.countUnfinishedBindings(), quicktest.Equals, 0)
	}
}

// An attempt must be cancelled as soon as another one has answered,
// and not only when the caller closes the answer.
func TestSupersededAttemptIsCancelledAtOnce(t *testing.T) {
	c := quicktest.New(t)
	s := &fakeSender{script: map[string]func(context.Context) (*http.Response, error){
		"a": waitForCancel,
		"b": answerWith(http.StatusOK, "text/plain", "ok"),
	}}
	b := &fakeBinder{}
	d := dispatcher.New(b, s, oneGroupPlanner{}, dispatcher.WithHedges(fixedHedgeTimer{5 * time.Millisecond}, fixedBudget{true}))
	a, err := d.Dispatch(context.Background(), newJob(class.Idempotent))
	c.Assert(err, quicktest.IsNil)
	c.Assert(b.countUnfinishedBindings(), quicktest.Equals, 0)
	a.Close()
	c.Assert(a.Attempts, quicktest.Equals, 2)
}
