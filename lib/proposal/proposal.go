package proposal

import (
	"fmt"
	"time"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
)

// Proposal is one proposed change of the configuration, with the id that the operator chose for it.
type Proposal struct {
	changeID     string
	author       string
	at           time.Time
	baseRevision *int64
	document     *document.Document
	// documentVersion is the version of the stored object of the document.
	documentVersion int64
	zoneOut         string
	zoneIn          string
}

// ForDocument returns the proposal to replace the whole document of a team.
func ForDocument(changeID, author string, at time.Time, doc document.Document) Proposal {
	return Proposal{changeID: changeID, author: author, at: at, document: &doc}
}

// ForZoneOut returns the proposal to take an availability zone out of service.
func ForZoneOut(changeID, author string, at time.Time, zone string) Proposal {
	return Proposal{changeID: changeID, author: author, at: at, zoneOut: zone}
}

// ForZoneIn returns the proposal to bring an availability zone back into service.
func ForZoneIn(changeID, author string, at time.Time, zone string) Proposal {
	return Proposal{changeID: changeID, author: author, at: at, zoneIn: zone}
}

// WithBase returns a copy that is based on the given revision.
func (p Proposal) WithBase(revision int64) Proposal {
	p.baseRevision = &revision
	return p
}

// WithDocumentVersion returns a copy whose document is stored as an object of the given version.
func (p Proposal) WithDocumentVersion(version int64) Proposal {
	p.documentVersion = version
	return p
}

// ChangeID returns the id of the change.
func (p Proposal) ChangeID() string {
	return p.changeID
}

// Author returns the operator who proposes the change.
func (p Proposal) Author() string {
	return p.author
}

// Base returns the revision that the proposal is based on, if one was given.
func (p Proposal) Base() (int64, bool) {
	if p.baseRevision == nil {
		return 0, false
	}
	return *p.baseRevision, true
}

// Document returns the proposed document, if the proposal is for a document.
func (p Proposal) Document() (document.Document, bool) {
	if p.document == nil {
		return document.Document{}, false
	}
	return *p.document, true
}

// Zone returns the availability zone that the proposal takes out of service or brings back, or an empty string.
func (p Proposal) Zone() string {
	return p.zoneOut + p.zoneIn
}

// Summary returns a short description of the change for the history of the index.
func (p Proposal) Summary() string {
	switch {
	case p.zoneOut != "":
		return "zone " + p.zoneOut + " out"
	case p.zoneIn != "":
		return "zone " + p.zoneIn + " in"
	case p.document != nil:
		return fmt.Sprintf("document of %s with %d classes", p.document.Team, len(p.document.Classes))
	}
	return ""
}

// ApplyTo returns the index that results from accepting the change on top of the given one.
func (p Proposal) ApplyTo(x index.Index) index.Index {
	revision := x.Revision + 1
	switch {
	case p.document != nil:
		key := index.DocumentKey(p.changeID, p.document.Team)
		x = x.WithEntry(index.Entry{Team: p.document.Team, Key: key, Revision: revision, Version: p.documentVersion})
	case p.zoneOut != "":
		x = x.WithZoneOut(p.zoneOut)
	case p.zoneIn != "":
		x = x.WithZoneIn(p.zoneIn)
	}
	return x.WithChange(index.Change{
		Revision: revision, ChangeID: p.changeID, Author: p.author, Summary: p.Summary(), At: p.at,
	})
}
