package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranker ranks a fixed set of members by highest random weight (rendezvous hashing); it is immutable.
type Ranker struct {
	members []weighted
}

// weighted is a member with a hash: the hash of its name, or its weight for a key.
type weighted struct {
	name string
	hash uint64
}

// New returns a Ranker of the members; duplicate names count once.
func New(members ...string) Ranker {
	names := slices.Clone(members)
	slices.Sort(names)
	names = slices.Compact(names)
	r := Ranker{members: make([]weighted, 0, len(names))}
	for _, name := range names {
		r.members = append(r.members, weighted{name: name, hash: xxhash.Sum64String(name)})
	}
	return r
}

// Members returns the names of the members, sorted.
func (r Ranker) Members() []string {
	return memberNames(r.members)
}

// With returns a copy with the member added.
func (r Ranker) With(member string) Ranker {
	return New(append(r.Members(), member)...)
}

// Without returns a copy with the member removed.
func (r Ranker) Without(member string) Ranker {
	return New(slices.DeleteFunc(r.Members(), func(name string) bool { return name == member })...)
}

// Owner returns the member with the highest weight for the key, or an empty string if there are no members.
func (r Ranker) Owner(key string) string {
	keyHash := mixBits(xxhash.Sum64String(key))
	best := weighted{}
	for i, m := range r.members {
		candidate := weighted{name: m.name, hash: mixBits(m.hash ^ keyHash)}
		if i == 0 || compareWeighted(candidate, best) < 0 {
			best = candidate
		}
	}
	return best.name
}

// Rank returns all members by decreasing weight for the key.
func (r Ranker) Rank(key string) []string {
	keyHash := mixBits(xxhash.Sum64String(key))
	ranked := make([]weighted, 0, len(r.members))
	for _, m := range r.members {
		ranked = append(ranked, weighted{name: m.name, hash: mixBits(m.hash ^ keyHash)})
	}
	slices.SortFunc(ranked, compareWeighted)
	return memberNames(ranked)
}

// Best returns the first count members of Rank, or all if there are fewer.
func (r Ranker) Best(key string, count int) []string {
	ranked := r.Rank(key)
	return ranked[:min(max(count, 0), len(ranked))]
}

// Weight returns the weight of the member for the key, by which Rank orders.
func Weight(key, member string) uint64 {
	return mixBits(xxhash.Sum64String(member) ^ mixBits(xxhash.Sum64String(key)))
}

// compareWeighted orders by decreasing weight and then by name.
func compareWeighted(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
}

// mixBits is the finalizer of splitmix64, which makes every output bit depend on every input bit.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

func memberNames(members []weighted) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.name)
	}
	return out
}
