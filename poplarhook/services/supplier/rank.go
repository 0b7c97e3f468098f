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

// fanout is how many hosts read from one: the busiest of 99 and 300 hosts that read from three sources sent 1.3 and
// 7.9 MB a second (docs/CAPACITY.md).
const fanout = 48

// sourcesFor returns from whom a host may hear the store, the best first, itself last.
//
// The first in rank follows the store for the region. It serves the next hosts
// in rank, each of those as many of the following, and so on. A host that
// loses the one above it asks the first in rank and then the next ones.
func sourcesFor(self host.Host, members map[string]host.Host, fanout int) []host.Host {
	ranked := sourcesOf(self, members)
	place := slices.IndexFunc(ranked, func(h host.Host) bool { return h.ID == self.ID })
	sources := ranked[:place+1]
	if above := (place - 1) / fanout; place > 0 && above > 0 {
		sources = slices.Insert(slices.Clone(sources), 0, ranked[above])
	}
	return sources
}

// sourcesBelow returns the hosts below this one in rank, the best first.
func sourcesBelow(self host.Host, members map[string]host.Host) []host.Host {
	ranked := sourcesOf(self, members)
	place := slices.IndexFunc(ranked, func(h host.Host) bool { return h.ID == self.ID })
	return ranked[place+1:]
}

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
