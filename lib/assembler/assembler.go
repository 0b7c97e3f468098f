package assembler

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

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

const parallelReads = 8

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

// Remember keeps a document that is known already, so that Assemble need not read it.
func (a *Assembler) Remember(key string, doc document.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept[key] = doc
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
	var err error
	if snap.Documents, err = a.documents(ctx, x.Documents); err != nil {
		return snapshot.Snapshot{}, err
	}
	kept := make(map[string]document.Document, len(x.Documents))
	for i, entry := range x.Documents {
		kept[entry.Key] = snap.Documents[i]
	}
	return snap, a.keep(x.Revision, kept)
}

// documents returns the documents in the order of their entries, reading several at once.
func (a *Assembler) documents(ctx context.Context, entries []index.Entry) ([]document.Document, error) {
	docs := make([]document.Document, len(entries))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, entry := range entries {
		group.Go(func() error {
			var err error
			docs[i], err = a.document(ctx, entry)
			return err
		})
	}
	return docs, group.Wait()
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
