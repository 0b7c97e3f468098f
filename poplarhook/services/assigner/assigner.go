package assigner

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarhook.example/lib/ranker"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/member"
)

// roster lists the live entry hosts and those that may own groups, and reports whether this information is up to
// date.
type roster interface {
	Candidates(now time.Time) []member.Member
	Live(now time.Time) []member.Member
	IsFresh(now time.Time) bool
}

// Assigner determines the owner of each group by rendezvous hashing over the entry hosts of the group's region that
// may own groups; it is safe for concurrent use.
//
// Groups are bundled into shards to keep the number of leases for cold endpoints small.
type Assigner struct {
	roster roster
	shards int

	mu       sync.Mutex
	rankings map[string]regionRanking
}

// regionRanking caches the ranker of one region until the region's hosts change.
type regionRanking struct {
	names  []string
	ranker ranker.Ranker
}

// shardSeparator separates the region and the number in a shard's name.
const shardSeparator = "/"

// New returns an Assigner that bundles the groups of each region into the given number of shards.
func New(r roster, shards int) *Assigner {
	return &Assigner{roster: r, shards: max(shards, 1), rankings: make(map[string]regionRanking)}
}

// Shard returns the name of the shard that the group belongs to.
func (a *Assigner) Shard(g group.Group) string {
	n := xxhash.Sum64String(g.Service) % uint64(a.shards)
	return g.Region + shardSeparator + strconv.FormatUint(n, 10)
}

// Owner returns the entry host that owns the group. It is empty if there is none or if this host's view is out of
// date.
func (a *Assigner) Owner(now time.Time, g group.Group) string {
	return a.OwnerOfShard(now, a.Shard(g))
}

// OwnerOfShard returns the entry host that owns the groups of the shard. It is empty if there is none or if this
// host's view is out of date.
func (a *Assigner) OwnerOfShard(now time.Time, shard string) string {
	if !a.roster.IsFresh(now) {
		return ""
	}
	region, _, _ := strings.Cut(shard, shardSeparator)
	var names []string
	for _, m := range a.roster.Candidates(now) {
		if m.Region == region {
			names = append(names, m.ID)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return a.rankerFor(region, names).Owner(shard)
}

// Fingerprint returns a hash that changes whenever the owner of a group may have changed.
func (a *Assigner) Fingerprint(now time.Time) uint64 {
	digest := xxhash.New()
	if a.roster.IsFresh(now) {
		_, _ = digest.WriteString(shardSeparator)
	}
	for _, m := range a.roster.Candidates(now) {
		_, _ = digest.WriteString(m.ID + shardSeparator)
	}
	return digest.Sum64()
}

// Sharers returns the number of live entry hosts, which share the endpoints; it is at least one.
func (a *Assigner) Sharers(now time.Time) int {
	return max(len(a.roster.Live(now)), 1)
}

// rankerFor returns the ranker of a region's hosts with the given names. It is cached and reused while the names stay
// the same.
func (a *Assigner) rankerFor(region string, names []string) ranker.Ranker {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(names, a.rankings[region].names) {
		a.rankings[region] = regionRanking{names: names, ranker: ranker.New(names...)}
	}
	return a.rankings[region].ranker
}
