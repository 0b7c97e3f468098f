package supplier

import (
	"cmp"
	"slices"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
)

// large is the share of the largest capacity from which on hosts count as equally able to be a source: a source
// sends every change to each host of its region.
const large = 0.5

// sourcesOf returns the hosts of the own region in the order in which they should follow the store for it.
//
// All who know the same members agree without talking.
func sourcesOf(self host.Host, members map[string]host.Host) []host.Host {
	own := map[string]host.Host{self.ID: self}
	most := self.Capacity
	for id, m := range members {
		if m.Region == self.Region && id != self.ID {
			own[id] = m
			most = max(most, m.Capacity)
		}
	}
	ids := make([]string, 0, len(own))
	for id := range own {
		ids = append(ids, id)
	}
	ranked := make([]host.Host, 0, len(own))
	for _, id := range ranker.New(ids...).Rank(self.Region) {
		ranked = append(ranked, own[id])
	}
	slices.SortStableFunc(ranked, func(a, b host.Host) int {
		return cmp.Compare(classOf(a, most), classOf(b, most))
	})
	return ranked
}

// classOf returns 0 for a large host and 1 for a small one.
func classOf(h host.Host, most float64) int {
	if h.Capacity >= large*most {
		return 0
	}
	return 1
}
