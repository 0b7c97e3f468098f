package snapshotdiff

import (
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/limit"
	"poplarhook.example/lib/service"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/workspace"
)

// ErrOtherBase means that a difference is applied to a configuration other than the one that it starts from.
var ErrOtherBase = errors.New("difference starts from another configuration")

// Difference holds what one configuration has other than an earlier one, its base. It is immutable.
type Difference struct {
	// BaseRevision is the revision of the base.
	BaseRevision int64    `json:"base_revision"`
	Revision     int64    `json:"revision"`
	ChangeID     string   `json:"change_id,omitempty"`
	ZonesOut     []string `json:"zones_out"`
	// Classes are those that were changed or added, and Removed the names of those that were removed.
	Classes []class.Class `json:"classes,omitempty"`
	Removed []string      `json:"removed,omitempty"`
	// ClassCount is the number of all classes, by which a wrong base is noticed.
	ClassCount int `json:"class_count"`
	// Services, Limit and Workspaces are nil if they are those of the base.
	Services   *Services    `json:"services,omitempty"`
	Limit      *limit.Limit `json:"limit,omitempty"`
	Workspaces *Workspaces  `json:"workspaces,omitempty"`
}

// Services holds the services of a configuration.
type Services struct {
	Declared []service.Service `json:"declared"`
}

// Workspaces holds the workspaces of a configuration.
type Workspaces struct {
	HasWorkspaces bool                  `json:"has_workspaces"`
	Declared      []workspace.Workspace `json:"declared"`
}

// New returns the difference of next from base. ok is false if next must be sent whole: one of both has no revision,
// defects, a number of documents other than one or two classes of the same name, the document is another team's, or two
// classes of next have the same address, so that their order matters.
func New(base, next snapshot.Snapshot) (d Difference, ok bool) {
	if !isExpressible(base) || !isExpressible(next) || hasSharedAddress(next.Documents[0].Classes) {
		return Difference{}, false
	}
	before, unique := byName(base.Documents[0].Classes)
	after, alsoUnique := byName(next.Documents[0].Classes)
	if !unique || !alsoUnique {
		return Difference{}, false
	}
	d = Difference{
		BaseRevision: base.Revision, Revision: next.Revision, ChangeID: next.ChangeID, ZonesOut: next.ZonesOut,
		ClassCount: len(next.Documents[0].Classes),
	}
	for _, c := range next.Documents[0].Classes {
		if known, exists := before[c.Name]; !exists || !reflect.DeepEqual(*known, c) {
			d.Classes = append(d.Classes, c)
		}
	}
	for _, c := range base.Documents[0].Classes {
		if _, still := after[c.Name]; !still {
			d.Removed = append(d.Removed, c.Name)
		}
	}
	d = d.withSettings(base, next)
	result, err := d.Apply(base)
	return d, err == nil && reflect.DeepEqual(withoutClasses(result), withoutClasses(next))
}

// withSettings returns a copy with the services, the limit and the workspaces of next that base does not have.
func (d Difference) withSettings(base, next snapshot.Snapshot) Difference {
	if !reflect.DeepEqual(base.Services, next.Services) {
		d.Services = &Services{Declared: next.Services}
	}
	if base.Limit != next.Limit {
		d.Limit = &next.Limit
	}
	if base.HasWorkspaces != next.HasWorkspaces || !reflect.DeepEqual(base.Workspaces, next.Workspaces) {
		d.Workspaces = &Workspaces{HasWorkspaces: next.HasWorkspaces, Declared: next.Workspaces}
	}
	return d
}

// Apply returns the configuration that has the difference from base. Added classes follow those of the base, so the
// order of the classes may be another one than in the original. It returns ErrOtherBase if the difference starts from
// another configuration.
func (d Difference) Apply(base snapshot.Snapshot) (snapshot.Snapshot, error) {
	if base.Revision != d.BaseRevision || !isExpressible(base) {
		return snapshot.Snapshot{}, errors.Wrapf(ErrOtherBase, "revision %d instead of %d", base.Revision, d.BaseRevision)
	}
	next := base
	next.Revision, next.ChangeID, next.ZonesOut = d.Revision, d.ChangeID, d.ZonesOut
	classes := d.applyClasses(base.Documents[0].Classes)
	if len(classes) != d.ClassCount {
		return snapshot.Snapshot{}, errors.Wrapf(ErrOtherBase, "%d classes instead of %d", len(classes), d.ClassCount)
	}
	next.Documents = slices.Clone(base.Documents)
	next.Documents[0].Classes = classes
	if d.Services != nil {
		next.Services = d.Services.Declared
	}
	if d.Limit != nil {
		next.Limit = *d.Limit
	}
	if d.Workspaces != nil {
		next.HasWorkspaces, next.Workspaces = d.Workspaces.HasWorkspaces, d.Workspaces.Declared
	}
	return next, nil
}

// applyClasses returns the classes of the base without the removed ones, with the changed ones at their places and the
// added ones at the end.
func (d Difference) applyClasses(base []class.Class) []class.Class {
	changed, _ := byName(d.Classes)
	removed := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		removed[name] = true
	}
	classes := make([]class.Class, 0, max(len(base)+len(d.Classes)-len(d.Removed), 0))
	for _, c := range base {
		if removed[c.Name] {
			continue
		}
		if after, isChanged := changed[c.Name]; isChanged {
			c = *after
			delete(changed, c.Name)
		}
		classes = append(classes, c)
	}
	for _, c := range d.Classes {
		if _, isAdded := changed[c.Name]; isAdded {
			classes = append(classes, c)
		}
	}
	return classes
}

// isExpressible reports whether a configuration can be the base or the result of a difference, apart from its classes.
func isExpressible(s snapshot.Snapshot) bool {
	return s.Revision > 0 && len(s.Defects) == 0 && len(s.Documents) == 1
}

// byName returns the classes by their names, and whether all names differ.
func byName(classes []class.Class) (named map[string]*class.Class, unique bool) {
	named = make(map[string]*class.Class, len(classes))
	for i := range classes {
		named[classes[i].Name] = &classes[i]
	}
	return named, len(named) == len(classes)
}

// address is one combination of host, method and path prefix that a class matches.
type address struct{ host, method, prefix string }

// hasSharedAddress reports whether two classes match the same requests, so that the later one replaces the earlier one.
func hasSharedAddress(classes []class.Class) bool {
	holders := make(map[address]int, len(classes))
	for i, c := range classes {
		for _, host := range orEmpty(c.Hosts) {
			for _, method := range orEmpty(c.Methods) {
				a := address{host: host, method: method, prefix: c.PathPrefix}
				if holder, held := holders[a]; held && holder != i {
					return true
				}
				holders[a] = i
			}
		}
	}
	return false
}

// orEmpty returns the list, or a list of only the empty text, which matches everything, if it is empty.
func orEmpty(list []string) []string {
	if len(list) == 0 {
		return []string{""}
	}
	return list
}

// withoutClasses returns a copy without the classes of its documents.
func withoutClasses(s snapshot.Snapshot) snapshot.Snapshot {
	s.Documents = slices.Clone(s.Documents)
	for i := range s.Documents {
		s.Documents[i].Classes = nil
	}
	return s
}
