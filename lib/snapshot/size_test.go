package snapshot_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
)

const classesOfATeam = 40

// of returns a configuration of as many classes, each of a service of its own.
func of(classes int) snapshot.Snapshot {
	var s snapshot.Snapshot
	for i := range classes {
		if i%classesOfATeam == 0 {
			s.Documents = append(s.Documents, document.Document{Team: fmt.Sprintf("team_%03d", i/classesOfATeam)})
		}
		last := &s.Documents[len(s.Documents)-1]
		last.Classes = append(last.Classes, class.Class{
			Name: fmt.Sprintf("stock_lookup_%d", i), Methods: []string{"GET"}, PathPrefix: fmt.Sprintf("/service_%d/stock", i),
			Service: fmt.Sprintf("service_%d", i), Execution: class.Idempotent,
			LatencyTargetMS: 50, DeadlineMS: 1000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyHigh,
		})
	}
	return s
}

// TestSizeByClasses gives the slope that docs/CAPACITY.md uses: the bytes of a whole configuration, by its classes.
func TestSizeByClasses(t *testing.T) {
	for _, classes := range []int{400, 1200, 3600} {
		text, err := json.Marshal(of(classes))
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d classes: %d bytes, %d a class", classes, len(text), len(text)/classes)
		qt.Assert(t, len(text) < 1<<20, qt.IsTrue)
	}
}
