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
	// ErrStale means that an index is older than the configuration that is already applied.
	ErrStale = errors.New("index is older than the configuration applied")
	// ErrCorrupt means that an object of the store cannot be decoded or contains the document of another team.
	ErrCorrupt = errors.New("object of the configuration is corrupt")
)

const maxParallelReads = 8

// Fetcher reads objects of the store.
type Fetcher interface {
	Get(ctx context.Context, key string) (object.Object, error)
}

// Assembler turns an index into a snapshot. It caches the current documents, which is correct because the document
// under one key never changes. It is safe for concurrent use.
type Assembler struct {
	fetcher Fetcher

	mu sync.Mutex
	// appliedRevision is the highest revision that was assembled or passed to Applied.
	appliedRevision int64
	// cachedDocuments holds by key the documents of the last assembled snapshot and those added since.
	cachedDocuments map[string]document.Document
}

// New returns an assembler that reads documents through the fetcher.
func New(fetcher Fetcher) *Assembler {
	return &Assembler{fetcher: fetcher, cachedDocuments: map[string]document.Document{}}
}

// Applied records that the configuration of the revision was applied, from any source, so that Assemble rejects older
// revisions.
func (a *Assembler) Applied(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appliedRevision = max(a.appliedRevision, revision)
}

// AddDocument adds a known document to the cache, so that Assemble need not read it from the store.
func (a *Assembler) AddDocument(key string, doc document.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cachedDocuments[key] = doc
}

// Decode returns the index in an object of the store, or ErrCorrupt.
func Decode(stored object.Object) (index.Index, error) {
	var x index.Index
	if err := json.Unmarshal(stored.Value, &x); err != nil {
		return index.Index{}, errors.Wrapf(ErrCorrupt, "%s at version %d: %v", stored.Key, stored.Version, err)
	}
	return x, nil
}

// Assemble reads the documents of an index and returns the whole snapshot. It returns ErrStale if a newer index was
// already assembled or applied.
func (a *Assembler) Assemble(ctx context.Context, x index.Index) (snapshot.Snapshot, error) {
	if err := a.checkStale(x.Revision); err != nil {
		return snapshot.Snapshot{}, err
	}
	snap := snapshot.Snapshot{Revision: x.Revision, ChangeID: x.ChangeID, ZonesOut: slices.Clone(x.ZonesOut)}
	var err error
	if snap.Documents, err = a.loadDocuments(ctx, x.Documents); err != nil {
		return snapshot.Snapshot{}, err
	}
	documents := make(map[string]document.Document, len(x.Documents))
	for i, entry := range x.Documents {
		documents[entry.Key] = snap.Documents[i]
	}
	return snap, a.setCurrent(x.Revision, documents)
}

// loadDocuments returns the documents in the order of their entries and reads up to maxParallelReads at a time.
func (a *Assembler) loadDocuments(ctx context.Context, entries []index.Entry) ([]document.Document, error) {
	docs := make([]document.Document, len(entries))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, entry := range entries {
		group.Go(func() error {
			var err error
			docs[i], err = a.loadDocument(ctx, entry)
			return err
		})
	}
	return docs, group.Wait()
}

// checkStale returns ErrStale if a newer revision was already applied.
func (a *Assembler) checkStale(revision int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.appliedRevision {
		return errors.Wrapf(ErrStale, "revision %d, applied is %d", revision, a.appliedRevision)
	}
	return nil
}

// setCurrent stores the revision and its documents, or returns ErrStale if a newer revision was applied meanwhile.
func (a *Assembler) setCurrent(revision int64, documents map[string]document.Document) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.appliedRevision {
		return errors.Wrapf(ErrStale, "revision %d, applied is %d", revision, a.appliedRevision)
	}
	a.appliedRevision = revision
	a.cachedDocuments = documents
	return nil
}

// loadDocument returns the document of an entry, or ErrCorrupt if the document is that of another team.
func (a *Assembler) loadDocument(ctx context.Context, entry index.Entry) (document.Document, error) {
	doc, err := a.fetchDocument(ctx, entry)
	if err == nil && doc.Team != entry.Team {
		err = errors.Wrapf(ErrCorrupt, "%s is of team %q, not of %q", entry.Key, doc.Team, entry.Team)
	}
	return doc, err
}

// fetchDocument returns the document of an entry from the cache or the store.
func (a *Assembler) fetchDocument(ctx context.Context, entry index.Entry) (document.Document, error) {
	a.mu.Lock()
	doc, found := a.cachedDocuments[entry.Key]
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
