package group

import "github.com/cespare/xxhash/v2"

// Group identifies the endpoints of one service in one region.
type Group struct {
	Service string `json:"service"`
	Region  string `json:"region"`
}

// String returns the name of the group that logs and dumps show.
func (g Group) String() string {
	return g.Service + "@" + g.Region
}

// Number returns the 32-bit hash that identifies the group in messages between entry hosts.
func (g Group) Number() uint32 {
	return uint32(xxhash.Sum64String(g.String()))
}
