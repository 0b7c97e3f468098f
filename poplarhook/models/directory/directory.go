package directory

import (
	"slices"
	"strings"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/group"
)

// Directory is an immutable index of the platform's host list at one version.
type Directory struct {
	version   int64
	entries   []host.Host
	groups    map[group.Group][]host.Host
	regions   []string
	byAddress map[string]host.Host
}

// New builds the index of the hosts that the given version of the platform's host list has.
func New(version int64, hosts []host.Host) *Directory {
	d := &Directory{version: version, groups: make(map[group.Group][]host.Host), byAddress: make(map[string]host.Host)}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b host.Host) int { return strings.Compare(a.ID, b.ID) })
	for _, h := range sorted {
		d.addHost(h)
	}
	slices.Sort(d.regions)
	d.regions = slices.Compact(d.regions)
	return d
}

func (d *Directory) addHost(h host.Host) {
	switch h.Role {
	case host.RoleEntry:
		d.entries = append(d.entries, h)
	case host.RoleEndpoint:
		g := group.Group{Service: h.Service, Region: h.Region}
		d.groups[g] = append(d.groups[g], h)
		d.regions = append(d.regions, h.Region)
		d.byAddress[h.Address] = h
	}
}

// Version returns the version of the platform's host list from which the Directory was built.
func (d *Directory) Version() int64 {
	return d.version
}

// Entries returns the entry hosts in the order of their ids.
func (d *Directory) Entries() []host.Host {
	return d.entries
}

// GetEndpointsByGroup returns the endpoints of a group in the order of their ids.
func (d *Directory) GetEndpointsByGroup(g group.Group) []host.Host {
	return d.groups[g]
}

// Groups returns every group that has endpoints, sorted by name.
func (d *Directory) Groups() []group.Group {
	groups := make([]group.Group, 0, len(d.groups))
	for g := range d.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b group.Group) int { return strings.Compare(a.String(), b.String()) })
	return groups
}

// Regions returns every region that has endpoints, sorted.
func (d *Directory) Regions() []string {
	return d.regions
}

// GetEndpointByAddress returns the endpoint at the address and whether there is one.
func (d *Directory) GetEndpointByAddress(address string) (host.Host, bool) {
	h, listed := d.byAddress[address]
	return h, listed
}

// Endpoints returns the endpoints of all groups.
func (d *Directory) Endpoints() []host.Host {
	var all []host.Host
	for _, g := range d.Groups() {
		all = append(all, d.groups[g]...)
	}
	return all
}
