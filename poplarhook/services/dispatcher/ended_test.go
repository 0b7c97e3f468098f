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

func TestTheLogTellsWhoEndedAnAttempt(t *testing.T) {
	ok := answers(200, "text/plain", "ok")
	for name, test := range map[string]struct {
		execution string
		script    map[string]func(context.Context) (*http.Response, error)
		leave     time.Duration
		want      string
	}{
		"the endpoint":      {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": fails(exchanger.ErrBroken)}, 0, "endpoint"},
		"the deadline":      {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": silent}, 0, "deadline"},
		"the caller":        {class.OnceOnly, map[string]func(context.Context) (*http.Response, error){"a": silent}, 30 * time.Millisecond, "caller"},
		"a quicker attempt": {class.Idempotent, map[string]func(context.Context) (*http.Response, error){"a": silent, "b": ok}, 0, "quicker_attempt"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			core, lines := observer.New(zap.InfoLevel)
			d := dispatcher.New(&fakeBinder{}, &fakeSender{script: test.script}, onePlan{},
				dispatcher.WithHedges(fixedHedger{10 * time.Millisecond}, freeBudget{true}),
				dispatcher.WithLogger(zap.New(core)))
			ctx := context.Background()
			if test.leave > 0 {
				left, cancel := context.WithCancel(ctx)
				defer cancel()
				time.AfterFunc(test.leave, cancel)
				ctx = left
			}
			if a, err := d.Dispatch(ctx, newJob(test.execution)); err == nil {
				a.Close()
			}
			failed := lines.FilterMessage("attempt failed").All()
			c.Assert(failed, quicktest.HasLen, 1)
			c.Assert(failed[0].ContextMap()["ended_by"], quicktest.Equals, test.want)
		})
	}
}
