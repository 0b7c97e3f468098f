package index

import (
	"slices"
	"strings"
	"time"
)

// Key is the key of the index object in the store.
const Key = "config/index"

// MaxHistory is the maximum number of changes in the history of an index.
const MaxHistory = 100

// maxReplaced limits the replaced documents that an index lists so that publishers remove them from the store.
// Publishers remove only listed documents, so a document that is dropped from a full list stays in the store.
const maxReplaced = 2 * MaxHistory

const documentsPrefix = "config/documents/"

// DocumentKey returns the key of the object that contains the document of a team as of one change.
func DocumentKey(changeID, team string) string {
	return documentsPrefix + changeID + "/" + team
}

// Index is the content of the index object. A change is accepted by a conditional update of this object.
type Index struct {
	Revision  int64    `json:"revision"`
	ChangeID  string   `json:"change_id"`
	Documents []Entry  `json:"documents"`
	ZonesOut  []string `json:"zones_out"`
	History   []Change `json:"history"`
	// Replaced lists the documents that were replaced and are not yet removed from the store, oldest first.
	Replaced []Replaced `json:"replaced,omitempty"`
}

// Entry names the immutable object that contains the current document of a team, and the revision since which
// it is the current one.
type Entry struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	// Version is the version of the object, zero if it is not known.
	Version int64 `json:"version,omitempty"`
}

// Replaced names an object whose document was replaced, with the version that an index named and the revision
// that replaced it.
type Replaced struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// Change is one accepted change. The history of an index lists its newest change first.
type Change struct {
	Revision int64     `json:"revision"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
}

// Entry returns the entry of a team, if it has one.
func (x Index) Entry(team string) (Entry, bool) {
	for _, entry := range x.Documents {
		if entry.Team == team {
			return entry, true
		}
	}
	return Entry{}, false
}

// Change returns the change with the given id, if the history of the index still contains it.
func (x Index) Change(id string) (Change, bool) {
	for _, change := range x.History {
		if change.ChangeID == id {
			return change, true
		}
	}
	return Change{}, false
}

// HasHistorySince reports whether the history still contains every change after the given revision.
func (x Index) HasHistorySince(revision int64) bool {
	return x.Revision-int64(len(x.History)) <= revision
}

// Removable returns the replaced documents that no revision in the history of the index uses, oldest first.
func (x Index) Removable() []Replaced {
	var removable []Replaced
	for _, r := range x.Replaced {
		if len(x.History) > 0 && r.Revision <= x.History[len(x.History)-1].Revision {
			removable = append(removable, r)
		}
	}
	return removable
}

// WithoutReplaced returns a copy that no longer lists the given replaced documents.
func (x Index) WithoutReplaced(removed ...Replaced) Index {
	x.Replaced = slices.DeleteFunc(slices.Clone(x.Replaced), func(r Replaced) bool { return slices.Contains(removed, r) })
	return x
}

// WithEntry returns a copy with the entry as that of its team. The team's previous document is listed as replaced if
// its version is known.
func (x Index) WithEntry(entry Entry) Index {
	if old, found := x.Entry(entry.Team); found && old.Version > 0 {
		x.Replaced = append(slices.Clone(x.Replaced), Replaced{Key: old.Key, Version: old.Version, Revision: entry.Revision})
		x.Replaced = x.Replaced[max(len(x.Replaced)-maxReplaced, 0):]
	}
	x.Documents = slices.DeleteFunc(slices.Clone(x.Documents), func(e Entry) bool { return e.Team == entry.Team })
	x.Documents = append(x.Documents, entry)
	slices.SortFunc(x.Documents, func(a, b Entry) int { return strings.Compare(a.Team, b.Team) })
	return x
}

// WithZoneOut returns a copy in which the availability zone is out of service.
func (x Index) WithZoneOut(zone string) Index {
	x = x.WithZoneIn(zone)
	x.ZonesOut = append(x.ZonesOut, zone)
	slices.Sort(x.ZonesOut)
	return x
}

// WithZoneIn returns a copy in which the availability zone is back in service.
func (x Index) WithZoneIn(zone string) Index {
	x.ZonesOut = slices.DeleteFunc(slices.Clone(x.ZonesOut), func(z string) bool { return z == zone })
	return x
}

// WithChange returns a copy with the revision of the change and with the change added to the history as the newest.
func (x Index) WithChange(change Change) Index {
	x.Revision = change.Revision
	x.ChangeID = change.ChangeID
	kept := x.History[:min(len(x.History), MaxHistory-1)]
	x.History = append([]Change{change}, kept...)
	return x
}
