package supplier

import (
	"cmp"
	"slices"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/ranker"
)

// largeCapacityShare is the share of the largest capacity in the region from which a host counts as large. Large hosts
// are preferred as sources, since a source sends every change to each of its readers.
const largeCapacityShare = 0.5

// fanout is the number of hosts that read from one host. When all hosts read from three sources, the busiest host sent
// 1.3 MB/s among 99 hosts and 7.9 MB/s among 300 (docs/CAPACITY.md).
const fanout = 48

// sourcesFor returns the hosts that a host may use as its source, best first, the host itself last.
//
// The highest-ranked host follows the store for the region. It serves the next
// fanout hosts in rank, each of those serves the next fanout hosts after them,
// and so on. A host that loses its assigned source tries the highest-ranked
// host and then the others in order of rank.
func sourcesFor(self host.Host, members map[string]host.Host, fanout int) []host.Host {
	ranked := rankHosts(self, members)
	place := slices.IndexFunc(ranked, func(h host.Host) bool { return h.ID == self.ID })
	sources := ranked[:place+1]
	if above := (place - 1) / fanout; place > 0 && above > 0 {
		sources = slices.Insert(slices.Clone(sources), 0, ranked[above])
	}
	return sources
}

// lowerRankedHosts returns the hosts of the region ranked lower than the given one, best first.
func lowerRankedHosts(self host.Host, members map[string]host.Host) []host.Host {
	ranked := rankHosts(self, members)
	place := slices.IndexFunc(ranked, func(h host.Host) bool { return h.ID == self.ID })
	return ranked[place+1:]
}

// rankHosts returns the hosts of the own region in the order in which they should follow the store for it.
//
// The order depends only on the members, so hosts that know the same members
// agree on it without exchanging messages.
func rankHosts(self host.Host, members map[string]host.Host) []host.Host {
	own := map[string]host.Host{self.ID: self}
	maxCapacity := self.Capacity
	for id, m := range members {
		if m.Region == self.Region && id != self.ID {
			own[id] = m
			maxCapacity = max(maxCapacity, m.Capacity)
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
		return cmp.Compare(capacityTier(a, maxCapacity), capacityTier(b, maxCapacity))
	})
	return ranked
}

// capacityTier returns 0 for a large host and 1 for a small one.
func capacityTier(h host.Host, maxCapacity float64) int {
	if h.Capacity >= largeCapacityShare*maxCapacity {
		return 0
	}
	return 1
}
