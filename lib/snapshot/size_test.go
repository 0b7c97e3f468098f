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

const classesPerTeam = 40

// newSnapshot returns a configuration with the given number of classes, each for a different service.
func newSnapshot(classes int) snapshot.Snapshot {
	var s snapshot.Snapshot
	for i := range classes {
		if i%classesPerTeam == 0 {
			s.Documents = append(s.Documents, document.Document{Team: fmt.Sprintf("team_%03d", i/classesPerTeam)})
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

// TestSizeByClasses logs the size of a whole configuration in bytes, for several numbers of classes. docs/CAPACITY.md
// uses the bytes per class. The test fails if the largest configuration reaches 1 MiB.
func TestSizeByClasses(t *testing.T) {
	for _, classes := range []int{400, 1200, 3600} {
		text, err := json.Marshal(newSnapshot(classes))
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d classes: %d bytes, %d a class", classes, len(text), len(text)/classes)
		qt.Assert(t, len(text) < 1<<20, qt.IsTrue)
	}
}
