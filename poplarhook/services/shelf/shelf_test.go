package shelf_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/shelf"
)

// told is a shelf of numbers, of which the same parity says nothing new, and what its hook was told.
type told struct {
	*shelf.Shelf[int]
	changes []change.Change[int]
	calls   int
}

func newTold() *told {
	t := &told{}
	isSame := func(_ time.Time, before, after int) bool { return before%2 == after%2 }
	t.Shelf = shelf.New(isSame, func(v view.View[int]) {
		t.changes = append(t.changes, v.Changed...)
		t.calls++
	})
	t.Put(view.View[int]{Items: map[string]int{"a": 1, "b": 2}, Revision: 10})
	t.calls = 0
	return t
}

func TestChangesThatSayNothingNewAreNotTold(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 11, Changed: []change.Change[int]{{Name: "a", Value: 3}, {Name: "b", Value: 5}, {Name: "c", Removed: true}}})
	qt.Assert(t, s.changes, qt.DeepEquals, []change.Change[int]{{Name: "b", Value: 5}})
	qt.Assert(t, s.Get().Items, qt.DeepEquals, map[string]int{"a": 1, "b": 5})
}

func TestNoNewsRaisesTheRevisionOnly(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 12, Changed: []change.Change[int]{{Name: "a", Value: 3}}})
	qt.Assert(t, s.calls, qt.Equals, 0)
	s.Put(view.View[int]{Revision: 11, Changed: []change.Change[int]{{Name: "a", Value: 4}}})
	qt.Assert(t, s.Get().Items["a"], qt.Equals, 1)
}

func TestANewerListTellsOnlyWhatDiffers(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 12, Items: map[string]int{"a": 3, "c": 4}})
	qt.Assert(t, s.changes, qt.DeepEquals, []change.Change[int]{{Name: "b", Removed: true}, {Name: "c", Value: 4}})
	qt.Assert(t, s.Get().Items, qt.DeepEquals, map[string]int{"a": 1, "c": 4})
	qt.Assert(t, s.Get().Revision, qt.Equals, int64(12))
}

func TestAListWithoutNewsIsNotTold(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 12, Items: map[string]int{"a": 1, "b": 2}})
	qt.Assert(t, s.calls, qt.Equals, 0)
	qt.Assert(t, s.Get().Revision, qt.Equals, int64(12))
}

func TestAListOfTheSameRevisionMends(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 10, Items: map[string]int{"a": 1}})
	qt.Assert(t, s.Get().Items, qt.DeepEquals, map[string]int{"a": 1})
}

func TestAnOlderListIsLeftOut(t *testing.T) {
	s := newTold()
	s.Put(view.View[int]{Revision: 9, Items: map[string]int{"a": 1}})
	qt.Assert(t, s.calls, qt.Equals, 0)
	qt.Assert(t, s.Get().Items, qt.HasLen, 2)
}
