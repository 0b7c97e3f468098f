package dispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/services/dispatcher"
)

func TestFailedAttemptLogNamesWhoEndedIt(t *testing.T) {
	ok := answerWith(200, "text/plain", "ok")
	for name, test := range map[string]struct {
		execution          string
		script             map[string]func(context.Context) (*http.Response, error)
		callerCancelsAfter time.Duration
		want               string
	}{
		"ended by the endpoint":      {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": failWith(exchanger.ErrBroken)}, 0, "endpoint"},
		"ended by the deadline":      {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": waitForCancel}, 0, "deadline"},
		"ended by the caller":        {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": waitForCancel}, 30 * time.Millisecond, "caller"},
		"ended by a quicker attempt": {class.Idempotent, map[string]func(context.Context) (*http.Response, error){"a": waitForCancel, "b": ok}, 0, "quicker_attempt"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			core, logged := observer.New(zap.InfoLevel)
			d := dispatcher.New(&fakeBinder{}, &fakeSender{script: test.script}, oneGroupPlanner{},
				dispatcher.WithHedges(fixedHedgeTimer{10 * time.Millisecond}, fixedBudget{true}),
				dispatcher.WithLogger(zap.New(core)))
			ctx := context.Background()
			if test.callerCancelsAfter > 0 {
				cancellable, cancel := context.WithCancel(ctx)
				defer cancel()
				time.AfterFunc(test.callerCancelsAfter, cancel)
				ctx = cancellable
			}
			if a, err := d.Dispatch(ctx, newJob(test.execution)); err == nil {
				a.Close()
			}
			failed := logged.FilterMessage("attempt failed").All()
			c.Assert(failed, quicktest.HasLen, 1)
			c.Assert(failed[0].ContextMap()["ended_by"], quicktest.Equals, test.want)
		})
	}
}
