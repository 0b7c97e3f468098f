package divider_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/divider"
)

func TestSharesOfFewRequestsMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The first weight is above zero, as a class whose weights are all zero is not divided.
		first := rapid.IntRange(1, 100).Draw(t, "first")
		weights := append([]int{first}, rapid.SliceOfN(rapid.IntRange(0, 100), 0, 3).Draw(t, "others")...)
		total := 0
		divided := class.Class{Name: "a"}
		for i, weight := range weights {
			total += weight
			divided.Parts = append(divided.Parts, class.Part{Service: string(rune('a' + i)), Weight: weight})
		}
		const requests = 100
		counts := make(map[string]int)
		d := divider.New()
		for range requests {
			counts[d.Divide(divided).Service]++
		}
		for _, part := range divided.Parts {
			share, want := float64(counts[part.Service])/requests, float64(part.Weight)/float64(total)
			if math.Abs(share-want) > 0.05 {
				t.Fatalf("the share of service %s is %.2f, but its weight is %.2f", part.Service, share, want)
			}
		}
	})
}

func TestClassWithOneServiceIsUnchanged(t *testing.T) {
	one := class.Class{Name: "a", Service: "s"}
	qt.Assert(t, divider.New().Divide(one), qt.DeepEquals, one)
}
