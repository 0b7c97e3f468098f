package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/routers/caller"
)

// recorder is a dispatcher that stores the last job.
type recorder struct{ last job.Job }

func (r *recorder) Dispatch(_ context.Context, j job.Job) (*answer.Answer, error) {
	r.last = j
	return &answer.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
}

func TestDeadlineOfTheCallerAppliesOnlyIfShorter(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"", time.Second},
		{"250m", 250 * time.Millisecond},
		{"90000u", 90 * time.Millisecond},
		{"5S", time.Second},
		{"250", time.Second},
		{"-5m", time.Second},
		{"999999999m", time.Second},
	}
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range cases {
		t.Run(tc.header, func(t *testing.T) {
			c := quicktest.New(t)
			dispatched := &recorder{}
			handler := caller.New(func() (oneClass, bool) { return oneClass{}, true }, dispatched,
				caller.WithClock(func() time.Time { return now }))
			request := httptest.NewRequest(http.MethodGet, "/stock", nil)
			request.Header.Set(caller.HeaderTimeout, tc.header)
			handler.ServeHTTP(httptest.NewRecorder(), request)
			c.Assert(dispatched.last.Deadline.Sub(now), quicktest.Equals, tc.want)
		})
	}
}
