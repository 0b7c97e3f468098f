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

// boundBody breaks off when the context of its request ends.
type boundBody struct {
	io.Reader

	ctx context.Context
}

func (b boundBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(p)
}

func (boundBody) Close() error { return nil }

const longBody = 300 << 10

// answersLong gives, after a while, a body that is longer than what is read before the caller gets the head.
func answersLong(after time.Duration) func(context.Context) (*http.Response, error) {
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
			Body:          boundBody{strings.NewReader(strings.Repeat("x", longBody)), ctx},
		}, nil
	}
}

// Of two attempts that answer at about the same time, the one that counts is whole and the other is given up.
func TestHedgeAndFirstAttemptAnswerTogether(t *testing.T) {
	c := quicktest.New(t)
	for i := range 100 {
		s := &fakeSender{script: map[string]func(context.Context) (*http.Response, error){
			"a": answersLong(time.Millisecond + time.Duration(i)*10*time.Microsecond),
			"b": answersLong(500 * time.Microsecond),
		}}
		b := &fakeBinder{}
		d := dispatcher.New(b, s, onePlan{}, dispatcher.WithHedges(fixedHedger{time.Millisecond}, freeBudget{true}))
		a, err := d.Dispatch(context.Background(), newJob(class.Idempotent))
		c.Assert(err, quicktest.IsNil)
		rest, err := io.ReadAll(a.Rest)
		c.Assert(err, quicktest.IsNil)
		c.Assert(len(a.Start)+len(rest), quicktest.Equals, longBody)
		a.Close()
		c.Assert(b.balance(), quicktest.Equals, 0)
	}
}

// An attempt that another one has overtaken ends at once and not only with the answer.
func TestOvertakenAttemptEnds(t *testing.T) {
	c := quicktest.New(t)
	s := &fakeSender{script: map[string]func(context.Context) (*http.Response, error){
		"a": silent,
		"b": answers(http.StatusOK, "text/plain", "ok"),
	}}
	b := &fakeBinder{}
	d := dispatcher.New(b, s, onePlan{}, dispatcher.WithHedges(fixedHedger{5 * time.Millisecond}, freeBudget{true}))
	a, err := d.Dispatch(context.Background(), newJob(class.Idempotent))
	c.Assert(err, quicktest.IsNil)
	c.Assert(b.balance(), quicktest.Equals, 0)
	a.Close()
	c.Assert(a.Attempts, quicktest.Equals, 2)
}
