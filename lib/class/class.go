package class

import (
	"slices"
	"time"
)

// Allowed values of the fields Execution, Spill and Urgency of a class.
const (
	Idempotent = "idempotent"
	OnceOnly   = "once_only"

	SpillNever        = "never"
	SpillOtherRegions = "other_regions"

	UrgencyHigh   = "high"
	UrgencyNormal = "normal"
	UrgencyLow    = "low"
)

// Class is a kind of request, with the routing rules and targets that operators declare for it.
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
	// MaxSends is how many endpoints one request may be sent to at most; zero means the dispatcher's own limit.
	MaxSends int `json:"max_sends,omitempty" yaml:"-"`
	// Public says that requests of the class need no key, also where workspaces are declared.
	Public bool `json:"public,omitempty" yaml:"-"`
	// LargeAnswers says that the answers of the class are large, so that they cost more than requests to send.
	LargeAnswers bool `json:"large_answers,omitempty" yaml:"-"`
	// LargeBodies says that requests of the class have large bodies, so that they take much memory while they are read.
	LargeBodies bool `json:"large_bodies,omitempty" yaml:"-"`
	// Defect says why the class cannot be served: its entry in the configuration cannot be read. It is empty otherwise.
	Defect string `json:"defect,omitempty" yaml:"-"`
	// Parts are the services among which the requests of the class are split; empty if Service gets all of them.
	Parts []Part `json:"parts,omitempty" yaml:"-"`
}

// Part is one service's share of the requests of a class.
type Part struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the other parts of the class.
	Weight int `json:"weight"`
}

// WithService returns a copy whose requests all go to the given service.
func (c Class) WithService(service string) Class {
	c.Service = service
	c.Parts = nil
	return c
}

// WithDefect returns a copy that cannot be served for the given reason.
func (c Class) WithDefect(reason string) Class {
	c.Defect = reason
	return c
}

// WithUrgency returns a copy with the given urgency.
func (c Class) WithUrgency(urgency string) Class {
	c.Urgency = urgency
	return c
}

// WithHomeRegions returns a copy that may be served only in the given regions; empty means every region.
func (c Class) WithHomeRegions(regions []string) Class {
	c.HomeRegions = regions
	return c
}

// Services returns the names of all services to which requests of the class may go.
func (c Class) Services() []string {
	names := make([]string, 0, len(c.Parts)+1)
	if c.Service != "" {
		names = append(names, c.Service)
	}
	for _, p := range c.Parts {
		names = append(names, p.Service)
	}
	return names
}

// IsOnceOnly reports whether a request of the class may run at most once.
func (c Class) IsOnceOnly() bool {
	return c.Execution == OnceOnly
}

// HasHomeRegions reports whether the class is restricted to home regions.
func (c Class) HasHomeRegions() bool {
	return len(c.HomeRegions) > 0
}

// Permits reports whether a request of the class may be served in the region.
func (c Class) Permits(region string) bool {
	return !c.HasHomeRegions() || slices.Contains(c.HomeRegions, region)
}

// Deadline returns how long after its arrival a request must be answered; later answers are of no use to the caller.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// LatencyTarget returns the time within which 99 of 100 answers should arrive.
func (c Class) LatencyTarget() time.Duration {
	return time.Duration(c.LatencyTargetMS) * time.Millisecond
}
