package index

import (
	"slices"
	"strings"
	"time"
)

// Key is the key of the index object in the store.
const Key = "config/index"

// MaxHistory is how many changes the history keeps.
const MaxHistory = 100

// maxReplaced bounds the replaced documents that an index lists; what no longer fits stays in the store.
const maxReplaced = 2 * MaxHistory

const documentsPrefix = "config/documents/"

// DocumentKey returns the key of the object that holds a team's document of one change.
func DocumentKey(changeID, team string) string {
	return documentsPrefix + changeID + "/" + team
}

// Index is the object whose conditional update is the moment a change is accepted.
type Index struct {
	Revision  int64    `json:"revision"`
	ChangeID  string   `json:"change_id"`
	Documents []Entry  `json:"documents"`
	ZonesOut  []string `json:"zones_out"`
	History   []Change `json:"history"`
	// Replaced lists documents that are in force no longer, oldest first, until they are removed.
	Replaced []Replaced `json:"replaced,omitempty"`
}

// Entry names the immutable object that holds the current document of a team
// and the revision that put it in force.
type Entry struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	// Version is that of the object, zero if it is not known.
	Version int64 `json:"version,omitempty"`
}

// Replaced names an object whose document is in force no longer, by the version that was in force,
// and the revision that replaced it.
type Replaced struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// Change is one accepted change, newest first in the history.
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

// Change returns the change of an id, if the history still holds it.
func (x Index) Change(id string) (Change, bool) {
	for _, change := range x.History {
		if change.ChangeID == id {
			return change, true
		}
	}
	return Change{}, false
}

// Remembers reports whether the history still holds every change after the given revision.
func (x Index) Remembers(after int64) bool {
	return x.Revision-int64(len(x.History)) <= after
}

// Removable returns the replaced documents that no revision in the history names, oldest first.
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

// WithEntry returns a copy in which the team's document is the entry's.
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

// WithZoneOut returns a copy with the availability zone out.
func (x Index) WithZoneOut(zone string) Index {
	x = x.WithZoneIn(zone)
	x.ZonesOut = append(x.ZonesOut, zone)
	slices.Sort(x.ZonesOut)
	return x
}

// WithZoneIn returns a copy with the availability zone back in.
func (x Index) WithZoneIn(zone string) Index {
	x.ZonesOut = slices.DeleteFunc(slices.Clone(x.ZonesOut), func(z string) bool { return z == zone })
	return x
}

// WithChange returns a copy at the change's revision, with the change newest in the history.
func (x Index) WithChange(change Change) Index {
	x.Revision = change.Revision
	x.ChangeID = change.ChangeID
	kept := x.History[:min(len(x.History), MaxHistory-1)]
	x.History = append([]Change{change}, kept...)
	return x
}
