package waitlist_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/waitlist"
)

func TestValuesAreOrderedByUrgencyDeadlineAndArrival(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	w := waitlist.New[string, int]()
	w.Push("low", 0, 0, start.Add(time.Second))
	w.Push("late", 0, 1, start.Add(3*time.Second))
	w.Push("early", 7, 1, start.Add(2*time.Second))
	w.Push("early too", 0, 1, start.Add(2*time.Second))
	w.Push("high", 0, 9, start.Add(9*time.Second))
	c.Assert(w.Keys(), qt.DeepEquals, []string{"high", "early", "early too", "late", "low"})
	c.Assert(w.Len(), qt.Equals, 5)

	key, _, ok := w.FirstAccepted(func(key string, _ int, _ int) bool { return key == "late" })
	c.Assert(ok, qt.IsTrue)
	c.Assert(key, qt.Equals, "late")
	value, ok := w.Remove("early")
	c.Assert(ok, qt.IsTrue)
	c.Assert(value, qt.Equals, 7)
	_, ok = w.Remove("early")
	c.Assert(ok, qt.IsFalse)
	var expired []string
	w.Expire(start.Add(2*time.Second), func(key string, _ int) { expired = append(expired, key) })
	c.Assert(expired, qt.DeepEquals, []string{"early too", "low"})
	c.Assert(w.Keys(), qt.DeepEquals, []string{"high", "late"})
}
