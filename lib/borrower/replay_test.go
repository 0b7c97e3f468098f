package borrower_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/borrower"
	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/holding"
	"poplarhook.example/lib/replayer"
)

// event is one line of a trace: an event and its expected outcome.
type event struct {
	AtUS       int64               `json:"at_us"`
	Kind       string              `json:"kind"`
	ID         uint64              `json:"id"`
	UntilUS    int64               `json:"until_us"`
	Urgency    int                 `json:"urgency"`
	Excluded   string              `json:"excluded"`
	Endpoint   string              `json:"endpoint"`
	Count      int                 `json:"count"`
	Sequence   uint64              `json:"sequence"`
	Cold       bool                `json:"cold"`
	Scarce     bool                `json:"scarce"`
	Capacities []capacity.Capacity `json:"capacities"`
	InFlight   []holding.Holding   `json:"in_flight"`

	Bound    []bound    `json:"bound"`
	Demands  []demanded `json:"demands"`
	Releases []released `json:"releases"`
	Expired  []uint64   `json:"expired"`
	Refused  []string   `json:"refused"`
}

// settings is the first line of a trace.
type settings struct {
	HoldTimeUS         int64 `json:"hold_us"`
	MaxLocalWaitUS     int64 `json:"max_patience_us"`
	ScarcityDurationUS int64 `json:"scarce_for_us"`
	ResendIntervalUS   int64 `json:"resend_us"`
}

func (s settings) newBorrower() *borrower.Borrower {
	return borrower.New("b1",
		borrower.WithHoldTime(time.Duration(s.HoldTimeUS)*time.Microsecond),
		borrower.WithMaxLocalWait(time.Duration(s.MaxLocalWaitUS)*time.Microsecond),
		borrower.WithScarcityDuration(time.Duration(s.ScarcityDurationUS)*time.Microsecond),
		borrower.WithResendInterval(time.Duration(s.ResendIntervalUS)*time.Microsecond),
	)
}

type bound struct {
	ID       uint64 `json:"id"`
	Endpoint string `json:"endpoint"`
	Cold     bool   `json:"cold"`
}

type demanded struct {
	Sequence uint64 `json:"sequence"`
	Count    int    `json:"count"`
	UntilUS  int64  `json:"until_us"`
	Urgency  int    `json:"urgency"`
	Excluded string `json:"excluded"`
}

type released struct {
	Endpoint  string `json:"endpoint"`
	Count     int    `json:"count"`
	Completed int    `json:"completed"`
}

func at(us int64) time.Time { return time.UnixMicro(us) }

func (e event) apply(b *borrower.Borrower) action.Action {
	now := at(e.AtUS)
	switch e.Kind {
	case "ask":
		return b.Submit(now, e.ID, at(e.UntilUS), e.Urgency, e.Excluded)
	case "cancel":
		return b.Cancel(now, e.ID)
	case "finish":
		return b.Finish(now, e.Endpoint, e.Cold)
	case "credit":
		c := credit.Credit{Endpoint: e.Endpoint, Count: e.Count, Sequence: e.Sequence, Cold: e.Cold, Scarce: e.Scarce}
		if e.UntilUS != 0 {
			c.Until = at(e.UntilUS)
		}
		return b.Accept(now, c)
	case "recall":
		return b.Recall(now)
	case "reset":
		return b.Reset(now)
	case "capacities":
		return b.SetCapacities(now, e.Capacities)
	case "tick":
		return b.Tick(now)
	}
	panic("unknown kind " + e.Kind)
}

// newOutcome returns an action in the form of the expected outcome in a trace.
func newOutcome(a action.Action) event {
	e := event{Expired: a.Expired, Refused: a.Refused}
	for _, b := range a.Bound {
		e.Bound = append(e.Bound, bound{ID: b.ID, Endpoint: b.Endpoint, Cold: b.Cold})
	}
	for _, d := range a.Demands {
		e.Demands = append(e.Demands, demanded{
			Sequence: d.Sequence, Count: d.Count, UntilUS: d.Until.UnixMicro(), Urgency: d.Urgency, Excluded: d.Excluded,
		})
	}
	for _, r := range a.Releases {
		e.Releases = append(e.Releases, released(r))
	}
	return e
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "500", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestReplay(t *testing.T) {
	replayer.Run(t, func(c *qt.C) func(replayer.Line) {
		var b *borrower.Borrower
		c.Cleanup(func() { c.Check(b, qt.IsNotNil, qt.Commentf("the trace has no settings line")) })
		return func(line replayer.Line) {
			if b != nil {
				replayLine(c, b, line)
				return
			}
			var s settings
			line.Decode(c, &s)
			b = s.newBorrower()
		}
	})
}

func replayLine(c *qt.C, b *borrower.Borrower, line replayer.Line) {
	var e event
	line.Decode(c, &e)
	got := newOutcome(e.apply(b))
	want := event{Bound: e.Bound, Demands: e.Demands, Releases: e.Releases, Expired: e.Expired, Refused: e.Refused}
	c.Assert(got, qt.DeepEquals, want, qt.Commentf("line %d: %s", line.Number, line.Text))
	if e.InFlight != nil {
		c.Assert(append([]holding.Holding{}, b.InFlight()...), qt.DeepEquals, e.InFlight, qt.Commentf("line %d", line.Number))
	}
}
