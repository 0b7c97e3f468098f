package surveyor_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/services/surveyor"
)

// familiar is how many endpoints a host usually asks.
const familiar = 12

// crowd lists as many endpoints of the own region as given, and returns the names of those that entry-1 usually asks.
func (w *world) crowd(size int, says func(usual bool) report.Report) []string {
	ids := make([]string, 0, size)
	for i := range size {
		ids = append(ids, fmt.Sprintf("endpoint-%d", i))
	}
	usual := ranker.New(ids...).Best("entry-1", familiar)
	for _, id := range ids {
		w.add(own, id, says(slices.Contains(usual, id)))
	}
	return usual
}

func TestOnlyFamiliarEndpointsAreAskedWhileTheyAreGood(t *testing.T) {
	w := newWorld()
	usual := w.crowd(60, func(bool) report.Report { return idle(1) })
	s := newSurveyor(t, w)
	for range 100 {
		s.Finish(bind(t, s), idle(1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.looks {
		qt.Assert(t, slices.Contains(usual, id), qt.IsTrue, qt.Commentf(id))
	}
}

// Work whose homes are other regions has its answer later by each round of looks.
func TestWithoutEndpointsInTheOwnRegionSixFamiliarOnesAreAskedAtOnce(t *testing.T) {
	w := newWorld()
	for i := range 20 {
		w.add(other, fmt.Sprintf("away-%d", i), idle(1))
	}
	s := newSurveyor(t, w)
	for range 50 {
		s.Finish(bind(t, s), idle(1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, w.looks, qt.HasLen, 6)
}

func TestOthersOfOtherRegionsAreAskedWhenTheFamiliarOnesFail(t *testing.T) {
	w := newWorld()
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("away-%d", i))
	}
	usual := ranker.New(ids...).Best("entry-1", 6)
	for _, id := range ids {
		says := idle(1)
		if slices.Contains(usual, id) {
			says = report.Report{Err: errClosed}
		}
		w.add(other, id, says)
	}
	s := newSurveyor(t, w)
	for range 3 {
		qt.Assert(t, slices.Contains(usual, bind(t, s).Endpoint.ID), qt.IsFalse)
	}
}

func TestOthersAreAskedWhenTheFamiliarOnesAreFull(t *testing.T) {
	w := newWorld()
	usual := w.crowd(40, func(usual bool) report.Report {
		if usual {
			return busy(2, 8)
		}
		return idle(1)
	})
	qt.Assert(t, slices.Contains(usual, bind(t, newSurveyor(t, w)).Endpoint.ID), qt.IsFalse)
}

func TestOthersAreAskedWhenTheFamiliarOnesFail(t *testing.T) {
	w := newWorld()
	usual := w.crowd(40, func(usual bool) report.Report {
		if usual {
			return report.Report{Err: errClosed}
		}
		return idle(1)
	})
	s := newSurveyor(t, w)
	for range 3 {
		qt.Assert(t, slices.Contains(usual, bind(t, s).Endpoint.ID), qt.IsFalse)
	}
}

func BenchmarkBind(b *testing.B) {
	for _, size := range []int{5, 35, 250, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newWorld()
			w.crowd(size, func(bool) report.Report { return idle(1) })
			ctx := b.Context()
			s := surveyor.New(ctx, "entry-1", "own", w, w)
			for b.Loop() {
				bound, err := s.Bind(context.Background(), want())
				if err != nil {
					b.Fatal(err)
				}
				s.Finish(bound, idle(1))
			}
		})
	}
}
