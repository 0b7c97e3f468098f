package divider_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/divider"
)

func TestSharesFollowTheWeightsSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The first weight is above zero, so that there is something to share.
		first := rapid.IntRange(1, 100).Draw(t, "first")
		weights := append([]int{first}, rapid.SliceOfN(rapid.IntRange(0, 100), 0, 3).Draw(t, "others")...)
		total := 0
		one := class.Class{Name: "a"}
		for i, weight := range weights {
			total += weight
			one.Parts = append(one.Parts, class.Part{Service: string(rune('a' + i)), Weight: weight})
		}
		const requests = 100
		counts := make(map[string]int)
		d := divider.New()
		for range requests {
			counts[d.Divide(one).Service]++
		}
		for _, part := range one.Parts {
			share, want := float64(counts[part.Service])/requests, float64(part.Weight)/float64(total)
			if math.Abs(share-want) > 0.05 {
				t.Fatalf("share of %s is %.2f, its weight %.2f", part.Service, share, want)
			}
		}
	})
}

func TestAClassOfOneServiceStaysAsItIs(t *testing.T) {
	one := class.Class{Name: "a", Service: "s"}
	qt.Assert(t, divider.New().Divide(one), qt.DeepEquals, one)
}
