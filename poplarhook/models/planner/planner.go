package planner

import (
	"slices"

	"poplarhook.example/lib/class"
	"poplarhook.example/poplarhook/models/group"
)

// Planner decides for the entry hosts of one region.
type Planner struct {
	region string
}

// New returns a Planner for entry hosts in the region.
func New(region string) Planner {
	return Planner{region: region}
}

// Plan returns the groups that may serve the class, the preferred one first.
//
// A home-bound class gets only groups of its home regions. Another class gets
// the own region, and the others only if it may spill. The regions are those
// that have endpoints, in a fixed order.
func (p Planner) Plan(c class.Class, regions []string) []group.Group {
	var plan []group.Group
	for _, region := range p.order(c, regions) {
		if p.allows(c, region, regions) {
			plan = append(plan, group.Group{Service: c.Service, Region: region})
		}
	}
	return plan
}

// order puts the own region first, then home regions as declared, then the rest.
func (p Planner) order(c class.Class, regions []string) []string {
	ordered := []string{p.region}
	for _, region := range slices.Concat(c.HomeRegions, regions) {
		if !slices.Contains(ordered, region) {
			ordered = append(ordered, region)
		}
	}
	return ordered
}

func (p Planner) allows(c class.Class, region string, regions []string) bool {
	if !c.Permits(region) {
		return false
	}
	if region == p.region || c.Spill == class.SpillOtherRegions {
		return true
	}
	// A class that is away from home, or whose own region has no endpoints at all, has no other choice.
	return c.IsHomeBound() && !c.Permits(p.region) || !slices.Contains(regions, p.region)
}
