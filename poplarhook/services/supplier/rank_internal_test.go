package supplier

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/host"
)

func TestLargeHostsComeFirstAndAllAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make(map[string]host.Host)
		n := rapid.IntRange(1, 30).Draw(t, "hosts")
		for i := range n {
			id := fmt.Sprintf("h%d", i)
			members[id] = host.Host{ID: id, Region: "r", Capacity: rapid.SampledFrom([]float64{1.3, 12.6}).Draw(t, "capacity")}
		}
		members["far"] = host.Host{ID: "far", Region: "elsewhere", Capacity: 100}
		want := sourcesOf(members["h0"], members)
		if len(want) != n {
			t.Fatalf("%d of %d hosts ranked", len(want), n)
		}
		for i := 1; i < n; i++ {
			if want[i].Capacity > want[i-1].Capacity {
				t.Fatalf("%s after %s", want[i].ID, want[i-1].ID)
			}
		}
		for i := range n {
			got := sourcesOf(members[fmt.Sprintf("h%d", i)], members)
			for j := range got {
				if got[j].ID != want[j].ID {
					t.Fatalf("h%d ranks %s where h0 ranks %s", i, got[j].ID, want[j].ID)
				}
			}
		}
	})
}

func TestAHostThatIsNotListedYetRanksItself(t *testing.T) {
	got := sourcesOf(host.Host{ID: "new", Region: "r", Capacity: 1}, nil)
	qt.Assert(t, got, qt.HasLen, 1)
}
