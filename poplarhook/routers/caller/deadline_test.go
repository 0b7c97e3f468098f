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

// keeper keeps the last job.
type keeper struct{ last job.Job }

func (k *keeper) Dispatch(_ context.Context, j job.Job) (*answer.Answer, error) {
	k.last = j
	return &answer.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
}

func TestShorterDeadlineOfTheCallerCounts(t *testing.T) {
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
			k := &keeper{}
			handler := caller.New(func() (oneClass, bool) { return oneClass{}, true }, k,
				caller.WithClock(func() time.Time { return now }))
			request := httptest.NewRequest(http.MethodGet, "/stock", nil)
			request.Header.Set(caller.HeaderTimeout, tc.header)
			handler.ServeHTTP(httptest.NewRecorder(), request)
			c.Assert(k.last.Until.Sub(now), quicktest.Equals, tc.want)
		})
	}
}
