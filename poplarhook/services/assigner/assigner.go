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

// roster tells which entry hosts may own groups.
type roster interface {
	Candidates(now time.Time) []member.Member
	Live(now time.Time) []member.Member
	Fresh(now time.Time) bool
}

// Assigner names owners by rendezvous over the live entry hosts of a group's region, safe for concurrent use.
//
// Groups are bundled into shards, so that the leases for cold work are few.
type Assigner struct {
	roster roster
	shards int

	mu    sync.Mutex
	ranks map[string]rank
}

// rank is the ranking of one region's hosts, kept while they stay the same.
type rank struct {
	names  []string
	ranker ranker.Ranker
}

// shardSeparator stands between a shard's region and its number.
const shardSeparator = "/"

// New returns an Assigner that bundles the groups of each region into the given number of shards.
func New(r roster, shards int) *Assigner {
	return &Assigner{roster: r, shards: max(shards, 1), ranks: make(map[string]rank)}
}

// Shard returns the name of the shard that the group belongs to.
func (a *Assigner) Shard(g group.Group) string {
	n := xxhash.Sum64String(g.Service) % uint64(a.shards)
	return g.Region + shardSeparator + strconv.FormatUint(n, 10)
}

// Owner returns the entry host that owns the group, empty while there is none or this host's view is out of date.
func (a *Assigner) Owner(now time.Time, g group.Group) string {
	return a.OwnerOfShard(now, a.Shard(g))
}

// OwnerOfShard returns the entry host that owns the groups of the shard, empty as for Owner.
func (a *Assigner) OwnerOfShard(now time.Time, shard string) string {
	if !a.roster.Fresh(now) {
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
	return a.rank(region, names).Owner(shard)
}

// Fingerprint changes whenever owners may have changed.
func (a *Assigner) Fingerprint(now time.Time) uint64 {
	digest := xxhash.New()
	if a.roster.Fresh(now) {
		_, _ = digest.WriteString(shardSeparator)
	}
	for _, m := range a.roster.Candidates(now) {
		_, _ = digest.WriteString(m.ID + shardSeparator)
	}
	return digest.Sum64()
}

// Sharers returns how many live entry hosts share the endpoints, at least one.
func (a *Assigner) Sharers(now time.Time) int {
	return max(len(a.roster.Live(now)), 1)
}

// rank returns the ranking of a region's hosts, kept from the last call where they are the same.
func (a *Assigner) rank(region string, names []string) ranker.Ranker {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(names, a.ranks[region].names) {
		a.ranks[region] = rank{names: names, ranker: ranker.New(names...)}
	}
	return a.ranks[region].ranker
}
