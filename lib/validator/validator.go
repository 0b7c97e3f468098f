package validator

import (
	"fmt"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/violation"
)

// Limits of a configuration.
const (
	MaxTeams         = 1024
	MaxClasses       = 2048
	MaxHosts         = 64
	MaxRegions       = 64
	MaxNameBytes     = 64
	MaxPrefixBytes   = 256
	MaxDeadlineMS    = 600_000
	MaxZonesOut      = 256
	maxViolations    = 100
	maxHostNameBytes = 253
)

// ReservedTeam is the team of the operators, which declares no classes.
const ReservedTeam = "operators"

// ErrInvalid is what a refused document or snapshot returns.
var ErrInvalid = violation.ErrInvalid

// Validator checks configurations against the rules and the known regions and availability zones.
type Validator struct {
	regions func() []string
	zones   func() []string
}

// Option changes what a validator knows.
type Option func(*Validator)

// WithRegions sets the regions that a document may name; without it any well-formed name passes.
func WithRegions(regions ...string) Option {
	return WithRegionsFrom(func() []string { return regions })
}

// WithRegionsFrom sets where the known regions come from; while there are none any well-formed name passes.
func WithRegionsFrom(regions func() []string) Option {
	return func(v *Validator) { v.regions = regions }
}

// WithZones sets the availability zones that may be taken out; without it any well-formed name passes.
func WithZones(zones ...string) Option {
	return WithZonesFrom(func() []string { return zones })
}

// WithZonesFrom sets where the known availability zones come from; while there are none any well-formed name passes.
func WithZonesFrom(zones func() []string) Option {
	return func(v *Validator) { v.zones = zones }
}

// New returns a validator.
func New(options ...Option) Validator {
	none := func() []string { return nil }
	v := Validator{regions: none, zones: none}
	for _, option := range options {
		option(&v)
	}
	return v
}

// Document checks one team's document alone and returns all that is wrong with it.
func (v Validator) Document(doc document.Document) error {
	var f findings
	v.document(&f, doc)
	return violation.Join(f.list)
}

// Snapshot checks every document, what they claim together and the availability zones out.
func (v Validator) Snapshot(snap snapshot.Snapshot) error {
	var f findings
	f.atMost("documents", len(snap.Documents), MaxTeams)
	teams := map[string]bool{}
	for _, doc := range snap.Documents {
		inner := f.under(fmt.Sprintf("documents[%s].", doc.Team))
		v.document(inner, doc)
		f.list = inner.list
		f.unique("documents", doc.Team, teams)
	}
	v.zonesOut(&f, snap.ZonesOut)
	overlaps(&f, snap.Documents)
	return violation.Join(f.list)
}

// Zone checks the name of one availability zone.
func (v Validator) Zone(zone string) error {
	var f findings
	f.known("zone", zone, v.zones())
	return violation.Join(f.list)
}

func (v Validator) zonesOut(f *findings, zones []string) {
	f.atMost("zones_out", len(zones), MaxZonesOut)
	seen := map[string]bool{}
	for i, zone := range zones {
		field := fmt.Sprintf("zones_out[%d]", i)
		f.place(field, zone)
		f.unique(field, zone, seen)
	}
}
