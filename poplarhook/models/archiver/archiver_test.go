package archiver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/archiver"
)

func TestNewestConfigurationsAreKept(t *testing.T) {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	a := archiver.New()
	for revision := int64(1); revision <= 20; revision++ {
		a.Add(start.Add(time.Duration(revision)*time.Second), snapshot.Snapshot{Revision: revision, ChangeID: "c"})
	}
	changes := a.Changes()
	qt.Assert(t, changes, qt.HasLen, 8)
	qt.Assert(t, changes[0].Revision, qt.Equals, int64(20))
	qt.Assert(t, changes[0].At, qt.Equals, start.Add(20*time.Second))
	qt.Assert(t, changes[7].Revision, qt.Equals, int64(13))
	_, found := a.Get(12)
	qt.Assert(t, found, qt.IsFalse)
	s, found := a.Get(13)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, s.Revision, qt.Equals, int64(13))
}
