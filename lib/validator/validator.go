package validator

import (
	"fmt"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/violation"
)

// Limits of a configuration. MaxClasses applies to one document; MaxHosts, MaxRegions and MaxDeadlineMS to one class.
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

// ReservedTeam is the name of the team of the operators. A document must not use it, as this team declares no classes.
const ReservedTeam = "operators"

// ErrInvalid is the error, for errors.Is, of a document, snapshot or zone that breaks the rules.
var ErrInvalid = violation.ErrInvalid

// Validator checks configurations against the rules, the known regions and the known availability zones.
type Validator struct {
	regions func() []string
	zones   func() []string
}

// Option configures a Validator.
type Option func(*Validator)

// WithRegions sets the regions that a document may name. By default any well-formed name is valid.
func WithRegions(regions ...string) Option {
	return WithRegionsFrom(func() []string { return regions })
}

// WithRegionsFrom sets the function that returns the known regions. While it returns none, any well-formed name is
// valid.
func WithRegionsFrom(regions func() []string) Option {
	return func(v *Validator) { v.regions = regions }
}

// WithZones sets the availability zones that may be taken out of service. By default any well-formed name is valid.
func WithZones(zones ...string) Option {
	return WithZonesFrom(func() []string { return zones })
}

// WithZonesFrom sets the function that returns the known availability zones. While it returns none, any well-formed
// name is valid.
func WithZonesFrom(zones func() []string) Option {
	return func(v *Validator) { v.zones = zones }
}

// New returns a validator with the given options.
func New(options ...Option) Validator {
	none := func() []string { return nil }
	v := Validator{regions: none, zones: none}
	for _, option := range options {
		option(&v)
	}
	return v
}

// Document checks the document of one team on its own and returns its violations.
func (v Validator) Document(doc document.Document) error {
	var f findings
	v.checkDocument(&f, doc)
	return violation.Join(f.violations)
}

// Snapshot checks every document, that no two teams match the same requests, and the availability zones out of service.
func (v Validator) Snapshot(snap snapshot.Snapshot) error {
	var f findings
	f.checkCount("documents", len(snap.Documents), MaxTeams)
	teams := map[string]bool{}
	for _, doc := range snap.Documents {
		docFindings := f.withPrefix(fmt.Sprintf("documents[%s].", doc.Team))
		v.checkDocument(docFindings, doc)
		f.violations = docFindings.violations
		f.checkUnique("documents", doc.Team, teams)
	}
	v.checkZonesOut(&f, snap.ZonesOut)
	checkOverlaps(&f, snap.Documents)
	return violation.Join(f.violations)
}

// Zone checks the name of one availability zone.
func (v Validator) Zone(zone string) error {
	var f findings
	f.checkKnown("zone", zone, v.zones())
	return violation.Join(f.violations)
}

func (v Validator) checkZonesOut(f *findings, zones []string) {
	f.checkCount("zones_out", len(zones), MaxZonesOut)
	seen := map[string]bool{}
	for i, zone := range zones {
		field := fmt.Sprintf("zones_out[%d]", i)
		f.checkLocation(field, zone)
		f.checkUnique(field, zone, seen)
	}
}
