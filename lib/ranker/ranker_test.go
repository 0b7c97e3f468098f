package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/ranker"
)

func TestRankContainsEveryMemberOnce(t *testing.T) {
	c := qt.New(t)
	r := ranker.New("c", "a", "b", "a")
	ranked := r.Rank("key")
	c.Check(ranked[0], qt.Equals, r.Owner("key"))
	c.Check(r.Best("key", 2), qt.DeepEquals, ranked[:2])
	c.Check(r.Best("key", 9), qt.DeepEquals, ranked)
	slices.Sort(ranked)
	c.Check(ranked, qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(ranker.New().Owner("key"), qt.Equals, "")
	c.Check(ranker.New().Rank("key"), qt.HasLen, 0)
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	c := qt.New(t)
	const members, keys = 16, 16000
	r := ranker.New()
	for i := range members {
		r = r.With(fmt.Sprintf("host-%d", i))
	}
	owned := map[string]int{}
	for i := range keys {
		owned[r.Owner(fmt.Sprintf("service/%d", i))]++
	}
	c.Check(owned, qt.HasLen, members)
	for name, count := range owned {
		c.Check(count > 850 && count < 1150, qt.IsTrue, qt.Commentf("%s owns %d of %d", name, count, keys))
	}
}

func TestRemovingAMemberMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.String(), 2, 20, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(members).Draw(t, "removed")
		before := ranker.New(members...).Rank(key)
		after := ranker.New(members...).Without(removed).Rank(key)
		want := slices.DeleteFunc(before, func(name string) bool { return name == removed })
		if !slices.Equal(after, want) {
			t.Fatalf("without %q: %q, want %q", removed, after, want)
		}
	})
}
