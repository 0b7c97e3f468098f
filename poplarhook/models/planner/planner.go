package planner

import (
	"slices"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/group"
)

// Planner selects the groups for the entry hosts of one region.
type Planner struct {
	region string
}

// New returns a Planner for entry hosts in the region.
func New(region string) Planner {
	return Planner{region: region}
}

// Plan returns the groups that may serve the class, the preferred one first.
//
// A home-bound class gets only groups of its home regions. Any other class gets
// the group of this host's region, and those of other regions only if it may
// spill or this region has no endpoints. The regions passed in are those that
// have endpoints, in a fixed order.
func (p Planner) Plan(c class.Class, regions []string) []group.Group {
	var plan []group.Group
	for _, region := range p.orderRegions(c, regions) {
		if p.allowsRegion(c, region, regions) {
			plan = append(plan, group.Group{Service: c.Service, Region: region})
		}
	}
	return plan
}

// orderRegions returns the regions with this host's region first, then the home regions as declared, then the others.
func (p Planner) orderRegions(c class.Class, regions []string) []string {
	ordered := []string{p.region}
	for _, region := range slices.Concat(c.HomeRegions, regions) {
		if !slices.Contains(ordered, region) {
			ordered = append(ordered, region)
		}
	}
	return ordered
}

// allowsRegion reports whether the class may be served in the region.
func (p Planner) allowsRegion(c class.Class, region string, regions []string) bool {
	if !c.Permits(region) {
		return false
	}
	if region == p.region || c.Spill == class.SpillOtherRegions {
		return true
	}
	// Other regions are the only choice for a home-bound class outside its home regions, and for any class when this
	// region has no endpoints.
	return c.HasHomeRegions() && !c.Permits(p.region) || !slices.Contains(regions, p.region)
}
