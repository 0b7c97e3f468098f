package stopper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/stopper"
)

// A request that is offered late in a stop must not be cut off at its end.
func TestLateRequestsAreOfferedOnlyIfTheyEndInTime(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	s := stopper.New(at(3), at(5.7))
	c.Check(s.LastOffer(), qt.Equals, at(3))
	for _, test := range []struct {
		now, deadline float64
		want          bool
	}{
		{now: 0, deadline: 10, want: true},
		{now: 2.9, deadline: 10, want: true},
		{now: 3, deadline: 10, want: false},
		{now: 3, deadline: 5.7, want: true},
		{now: 5.6, deadline: 5.7, want: true},
		{now: 5.6, deadline: 5.8, want: false},
	} {
		c.Check(s.MayOffer(at(test.now), at(test.deadline)), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
