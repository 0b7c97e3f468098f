package class

import (
	"slices"
	"time"
)

// Values that a class may hold in its enumerated fields.
const (
	Idempotent = "idempotent"
	OnceOnly   = "once_only"

	SpillNever        = "never"
	SpillOtherRegions = "other_regions"

	UrgencyHigh   = "high"
	UrgencyNormal = "normal"
	UrgencyLow    = "low"
)

// Class is a kind of work with the target that operators declare for it.
type Class struct {
	Name            string   `json:"name" yaml:"name"`
	Hosts           []string `json:"hosts,omitempty" yaml:"hosts,omitempty"`
	Methods         []string `json:"methods" yaml:"methods"`
	PathPrefix      string   `json:"path_prefix" yaml:"path_prefix"`
	Service         string   `json:"service" yaml:"service"`
	Execution       string   `json:"execution" yaml:"execution"`
	LatencyTargetMS int64    `json:"latency_target_ms" yaml:"latency_target_ms"`
	DeadlineMS      int64    `json:"deadline_ms" yaml:"deadline_ms"`
	HomeRegions     []string `json:"home_regions,omitempty" yaml:"home_regions,omitempty"`
	Spill           string   `json:"spill" yaml:"spill"`
	Urgency         string   `json:"urgency" yaml:"urgency"`
	// MaxSends is the most endpoints that one request may be sent to, zero for the dispatcher's own limit.
	MaxSends int `json:"max_sends,omitempty" yaml:"-"`
	// Parts are the services that share the requests of the class, empty when Service takes them all.
	Parts []Part `json:"parts,omitempty" yaml:"-"`
}

// Part is one service's share of a class, in proportion to the weights of the others.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// WithService returns a copy whose requests go to the one service.
func (c Class) WithService(service string) Class {
	c.Service = service
	c.Parts = nil
	return c
}

// IsOnceOnly reports whether a request of the class may run at most once.
func (c Class) IsOnceOnly() bool {
	return c.Execution == OnceOnly
}

// IsHomeBound reports whether the class may be served only in its home regions.
func (c Class) IsHomeBound() bool {
	return len(c.HomeRegions) > 0
}

// Permits reports whether a request of the class may be served in the region.
func (c Class) Permits(region string) bool {
	return !c.IsHomeBound() || slices.Contains(c.HomeRegions, region)
}

// Deadline returns the time after the request's arrival at which its answer is worthless.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// LatencyTarget returns the time within which 99 of 100 answers should arrive.
func (c Class) LatencyTarget() time.Duration {
	return time.Duration(c.LatencyTargetMS) * time.Millisecond
}
