package adopter_test

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/adopter"
)

func at(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func TestReplayOffers(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/offers.jsonl")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	a := adopter.New()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var step struct {
			AtMS     int   `json:"at_ms"`
			Open     bool  `json:"open"`
			Revision int64 `json:"revision"`
			Adopt    bool  `json:"adopt"`
			InForce  int64 `json:"in_force"`
		}
		c.Assert(json.Unmarshal(lines.Bytes(), &step), qt.IsNil)
		if step.Open {
			a.Enable()
		}
		adopted := a.Offer(at(step.AtMS), snapshot.Snapshot{Revision: step.Revision})
		comment := qt.Commentf("at %d ms", step.AtMS)
		c.Check(adopted, qt.Equals, step.Adopt, comment)
		c.Check(a.Revision(), qt.Equals, step.InForce, comment)
		if adopted {
			c.Check(a.AdoptedAt(), qt.Equals, at(step.AtMS), comment)
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func TestHighestOfferedRevisionIsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := adopter.New()
		a.Enable()
		highest := int64(0)
		for i, revision := range rapid.SliceOf(rapid.Int64Range(-2, 50)).Draw(t, "revisions") {
			adopted := a.Offer(at(i), snapshot.Snapshot{Revision: revision})
			if adopted != (revision > highest) {
				t.Fatalf("revision %d offered when the highest was %d: adopted is %v", revision, highest, adopted)
			}
			highest = max(highest, revision)
			current, exists := a.Current()
			if current.Revision != highest || exists != (highest > 0) {
				t.Fatalf("current revision %d, want %d", current.Revision, highest)
			}
		}
	})
}
