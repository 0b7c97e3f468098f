package lender_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
	"poplarhook.example/lib/replayer"
)

// event is one line of a trace: an event and its expected outcome.
type event struct {
	AtUS       int64               `json:"at_us"`
	Kind       string              `json:"kind"`
	Capacities []capacity.Capacity `json:"capacities"`
	Borrower   string              `json:"borrower"`
	Endpoint   string              `json:"endpoint"`
	Sequence   uint64              `json:"sequence"`
	Count      int                 `json:"count"`
	Urgency    int                 `json:"urgency"`
	Excluded   string              `json:"excluded"`
	UntilUS    int64               `json:"until_us"`
	Grants     []grant             `json:"grants"`
	Recalls    []string            `json:"recalls"`
}

type grant struct {
	Borrower string `json:"borrower"`
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	Sequence uint64 `json:"sequence"`
	UntilUS  int64  `json:"until_us"`
	Cold     bool   `json:"cold"`
	Scarce   bool   `json:"scarce"`
}

func at(us int64) time.Time { return time.UnixMicro(us).UTC() }

func newGrant(c credit.Credit) grant {
	g := grant{
		Borrower: c.Borrower, Endpoint: c.Endpoint, Count: c.Count, Sequence: c.Sequence,
		Cold: c.Cold, Scarce: c.Scarce,
	}
	if !c.Until.IsZero() {
		g.UntilUS = c.Until.UnixMicro()
	}
	return g
}

func applyEvent(l *lender.Lender, e event) []credit.Credit {
	now := at(e.AtUS)
	switch e.Kind {
	case "capacities":
		return l.SetCapacities(now, e.Capacities)
	case "demand":
		return l.Demand(now, demand.Demand{
			Borrower: e.Borrower, Sequence: e.Sequence, Count: e.Count, Until: at(e.UntilUS),
			Excluded: e.Excluded, Urgency: e.Urgency,
		})
	case "release":
		return l.Release(now, e.Borrower, e.Endpoint, e.Count)
	case "hold":
		return l.SetHolding(now, e.Borrower, e.Endpoint, e.Count)
	case "forget":
		return l.DropBorrower(now, e.Borrower, at(e.UntilUS))
	case "allow_cold":
		l.AllowCold(at(e.UntilUS))
		return nil
	case "tick":
		return l.Tick(now)
	}
	panic("unknown kind " + e.Kind)
}

func TestReplay(t *testing.T) {
	replayer.Run(t, func(c *qt.C) func(replayer.Line) {
		l := lender.New()
		return func(line replayer.Line) { replayLine(c, l, line) }
	})
}

func replayLine(c *qt.C, l *lender.Lender, line replayer.Line) {
	var e event
	line.Decode(c, &e)
	if e.Kind == "recalls" {
		c.Assert(l.Recalls(at(e.AtUS)), qt.DeepEquals, e.Recalls, qt.Commentf("line %d", line.Number))
		return
	}
	var grants []grant
	for _, granted := range applyEvent(l, e) {
		grants = append(grants, newGrant(granted))
	}
	c.Assert(grants, qt.DeepEquals, e.Grants, qt.Commentf("line %d: %s", line.Number, line.Text))
}
