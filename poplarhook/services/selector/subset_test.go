package selector_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/services/selector"
)

// subsetSize is how many endpoints are in the subset that a host probes first.
const subsetSize = 12

// addEndpoints lists endpoints of the own region and returns the ids of those in the subset of entry-1.
func (w *fakeCluster) addEndpoints(size int, reportOf func(inSubset bool) report.Report) []string {
	ids := make([]string, 0, size)
	for i := range size {
		ids = append(ids, fmt.Sprintf("endpoint-%d", i))
	}
	subset := ranker.New(ids...).Best("entry-1", subsetSize)
	for _, id := range ids {
		w.addEndpoint(own, id, reportOf(slices.Contains(subset, id)))
	}
	return subset
}

func TestOnlyTheSubsetIsProbedWhileItsEndpointsAreFast(t *testing.T) {
	w := newFakeCluster()
	subset := w.addEndpoints(60, func(bool) report.Report { return newIdleReport(1) })
	s := newSelector(t, w)
	for range 100 {
		s.Finish(bind(t, s), newIdleReport(1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.probes {
		qt.Assert(t, slices.Contains(subset, id), qt.IsTrue, qt.Commentf(id))
	}
}

// Each round of probes to another region delays the answer, so all probes are sent in one round to the same endpoints.
func TestSixEndpointsAreProbedWhenTheOwnRegionHasNone(t *testing.T) {
	w := newFakeCluster()
	for i := range 20 {
		w.addEndpoint(other, fmt.Sprintf("away-%d", i), newIdleReport(1))
	}
	s := newSelector(t, w)
	for range 50 {
		s.Finish(bind(t, s), newIdleReport(1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, w.probes, qt.HasLen, 6)
}

func TestRemoteEndpointsOutsideTheSubsetAreProbedWhenTheSubsetFails(t *testing.T) {
	w := newFakeCluster()
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("away-%d", i))
	}
	subset := ranker.New(ids...).Best("entry-1", 6)
	for _, id := range ids {
		answer := newIdleReport(1)
		if slices.Contains(subset, id) {
			answer = report.Report{Err: errClosed}
		}
		w.addEndpoint(other, id, answer)
	}
	s := newSelector(t, w)
	for range 3 {
		qt.Assert(t, slices.Contains(subset, bind(t, s).Endpoint.ID), qt.IsFalse)
	}
}

func TestEndpointsOutsideTheSubsetAreProbedWhenTheSubsetIsFull(t *testing.T) {
	w := newFakeCluster()
	subset := w.addEndpoints(40, func(inSubset bool) report.Report {
		if inSubset {
			return newBusyReport(2, 8)
		}
		return newIdleReport(1)
	})
	qt.Assert(t, slices.Contains(subset, bind(t, newSelector(t, w)).Endpoint.ID), qt.IsFalse)
}

func TestEndpointsOutsideTheSubsetAreProbedWhenTheSubsetFails(t *testing.T) {
	w := newFakeCluster()
	subset := w.addEndpoints(40, func(inSubset bool) report.Report {
		if inSubset {
			return report.Report{Err: errClosed}
		}
		return newIdleReport(1)
	})
	s := newSelector(t, w)
	for range 3 {
		qt.Assert(t, slices.Contains(subset, bind(t, s).Endpoint.ID), qt.IsFalse)
	}
}

func BenchmarkBind(b *testing.B) {
	for _, size := range []int{5, 35, 250, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newFakeCluster()
			w.addEndpoints(size, func(bool) report.Report { return newIdleReport(1) })
			ctx := b.Context()
			s := selector.New(ctx, "entry-1", "own", w, w)
			for b.Loop() {
				bound, err := s.Bind(context.Background(), newRequest())
				if err != nil {
					b.Fatal(err)
				}
				s.Finish(bound, newIdleReport(1))
			}
		})
	}
}
