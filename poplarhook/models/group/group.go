package group

import "github.com/cespare/xxhash/v2"

// Group names the endpoints of one service in one region.
type Group struct {
	Service string `json:"service"`
	Region  string `json:"region"`
}

// String returns the group's name as logs and dumps show it.
func (g Group) String() string {
	return g.Service + "@" + g.Region
}

// Number returns the 32-bit number that stands for the group between entry hosts.
func (g Group) Number() uint32 {
	return uint32(xxhash.Sum64String(g.String()))
}
