package assembler

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/snapshot"
)

var (
	// ErrStale means that an index is older than a configuration already applied.
	ErrStale = errors.New("index is older than the configuration applied")
	// ErrCorrupt means that an object of the store does not hold what its key says.
	ErrCorrupt = errors.New("object of the configuration is corrupt")
)

// Fetcher reads objects of the store.
type Fetcher interface {
	Get(ctx context.Context, key string) (object.Object, error)
}

// Assembler turns an index into a snapshot; it keeps the documents in force, as
// they never change under one key. It is safe for concurrent use.
type Assembler struct {
	fetcher Fetcher

	mu      sync.Mutex
	applied int64
	kept    map[string]document.Document
}

// New returns an assembler that reads documents through the fetcher.
func New(fetcher Fetcher) *Assembler {
	return &Assembler{fetcher: fetcher, kept: map[string]document.Document{}}
}

// Applied notes that a configuration is in force, from whatever source, so that an older one is refused.
func (a *Assembler) Applied(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = max(a.applied, revision)
}

// Decode returns the index that an object of the store holds, or ErrCorrupt.
func Decode(found object.Object) (index.Index, error) {
	var x index.Index
	if err := json.Unmarshal(found.Value, &x); err != nil {
		return index.Index{}, errors.Wrapf(ErrCorrupt, "%s at version %d: %v", found.Key, found.Version, err)
	}
	return x, nil
}

// Assemble reads the documents of an index and returns the whole snapshot. It
// returns ErrStale for an index older than one already assembled or applied.
func (a *Assembler) Assemble(ctx context.Context, x index.Index) (snapshot.Snapshot, error) {
	if err := a.refuseStale(x.Revision); err != nil {
		return snapshot.Snapshot{}, err
	}
	snap := snapshot.Snapshot{Revision: x.Revision, ChangeID: x.ChangeID, ZonesOut: slices.Clone(x.ZonesOut)}
	kept := make(map[string]document.Document, len(x.Documents))
	for _, entry := range x.Documents {
		doc, err := a.document(ctx, entry)
		if err != nil {
			return snapshot.Snapshot{}, err
		}
		kept[entry.Key] = doc
		snap.Documents = append(snap.Documents, doc)
	}
	return snap, a.keep(x.Revision, kept)
}

func (a *Assembler) refuseStale(revision int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.applied {
		return errors.Wrapf(ErrStale, "revision %d, applied is %d", revision, a.applied)
	}
	return nil
}

// keep notes the result unless a newer one was assembled meanwhile.
func (a *Assembler) keep(revision int64, kept map[string]document.Document) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.applied {
		return errors.Wrapf(ErrStale, "revision %d, applied is %d", revision, a.applied)
	}
	a.applied = revision
	a.kept = kept
	return nil
}

func (a *Assembler) document(ctx context.Context, entry index.Entry) (document.Document, error) {
	doc, err := a.fetch(ctx, entry)
	if err == nil && doc.Team != entry.Team {
		err = errors.Wrapf(ErrCorrupt, "%s is of team %q, not of %q", entry.Key, doc.Team, entry.Team)
	}
	return doc, err
}

func (a *Assembler) fetch(ctx context.Context, entry index.Entry) (document.Document, error) {
	a.mu.Lock()
	doc, found := a.kept[entry.Key]
	a.mu.Unlock()
	if found {
		return doc, nil
	}
	stored, err := a.fetcher.Get(ctx, entry.Key)
	if err != nil {
		return document.Document{}, errors.Wrapf(err, "document of team %s", entry.Team)
	}
	if err := json.Unmarshal(stored.Value, &doc); err != nil {
		return document.Document{}, errors.Wrapf(ErrCorrupt, "%s: %v", entry.Key, err)
	}
	return doc, nil
}
