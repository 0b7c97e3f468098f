package supplier

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/host"
)

func TestLargeHostsRankFirstAndAllHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make(map[string]host.Host)
		n := rapid.IntRange(1, 30).Draw(t, "hosts")
		for i := range n {
			id := fmt.Sprintf("h%d", i)
			members[id] = host.Host{ID: id, Region: "r", Capacity: rapid.SampledFrom([]float64{1.3, 12.6}).Draw(t, "capacity")}
		}
		members["far"] = host.Host{ID: "far", Region: "elsewhere", Capacity: 100}
		want := rankHosts(members["h0"], members)
		if len(want) != n {
			t.Fatalf("%d hosts are ranked, want %d", len(want), n)
		}
		for i := 1; i < n; i++ {
			if want[i].Capacity > want[i-1].Capacity {
				t.Fatalf("%s is ranked after %s, which has a smaller capacity", want[i].ID, want[i-1].ID)
			}
		}
		for i := range n {
			got := rankHosts(members[fmt.Sprintf("h%d", i)], members)
			for j := range got {
				if got[j].ID != want[j].ID {
					t.Fatalf("h%d ranks %s at the position at which h0 ranks %s", i, got[j].ID, want[j].ID)
				}
			}
		}
	})
}

func TestUnlistedHostRanksItself(t *testing.T) {
	got := rankHosts(host.Host{ID: "new", Region: "r", Capacity: 1}, nil)
	qt.Assert(t, got, qt.HasLen, 1)
}

// The preferred sources of all hosts must form a tree: each host serves at most fanout others, and no host is in a
// cycle.
func TestPreferredSourcesOfAllHostsFormTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "hosts")
		maxReaders := rapid.IntRange(1, 8).Draw(t, "readers")
		members := make(map[string]host.Host, n)
		for i := range n {
			id := fmt.Sprintf("h%d", i)
			members[id] = host.Host{ID: id, Region: "r", Capacity: rapid.SampledFrom([]float64{1.3, 12.6}).Draw(t, "capacity")}
		}
		served := make(map[string]int)
		sourceOf := make(map[string]string)
		for id, self := range members {
			first := sourcesFor(self, members, maxReaders)[0].ID
			if first != id {
				served[first]++
			}
			sourceOf[id] = first
		}
		for id, count := range served {
			if count > maxReaders {
				t.Fatalf("%s is the preferred source of %d hosts, more than the fanout", id, count)
			}
		}
		top := rankHosts(members["h0"], members)[0].ID
		for id := range members {
			at := id
			for range n {
				at = sourceOf[at]
			}
			if at != top {
				t.Fatalf("%s gets its updates through %s, not through %s", id, at, top)
			}
		}
	})
}
