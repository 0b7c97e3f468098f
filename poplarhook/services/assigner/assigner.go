package assigner

import (
	"slices"
	"strconv"
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

	mu      sync.Mutex
	members []string
	ranker  ranker.Ranker
}

// New returns an Assigner that bundles the groups of each region into the given number of shards.
func New(r roster, shards int) *Assigner {
	return &Assigner{roster: r, shards: max(shards, 1)}
}

// Shard returns the name of the shard that the group belongs to.
func (a *Assigner) Shard(g group.Group) string {
	n := xxhash.Sum64String(g.Service) % uint64(a.shards)
	return g.Region + "/" + strconv.FormatUint(n, 10)
}

// Owner returns the entry host that owns the group, empty while there is none or this host's view is out of date.
func (a *Assigner) Owner(now time.Time, g group.Group) string {
	if !a.roster.Fresh(now) {
		return ""
	}
	var names []string
	for _, m := range a.roster.Candidates(now) {
		if m.Region == g.Region {
			names = append(names, m.ID)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return a.rank(names).Owner(a.Shard(g))
}

// Sharers returns how many live entry hosts share the endpoints, at least one.
func (a *Assigner) Sharers(now time.Time) int {
	return max(len(a.roster.Live(now)), 1)
}

// rank returns the ranking of the members, kept from the last call where they are the same.
func (a *Assigner) rank(names []string) ranker.Ranker {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(names, a.members) {
		a.members = names
		a.ranker = ranker.New(names...)
	}
	return a.ranker
}
