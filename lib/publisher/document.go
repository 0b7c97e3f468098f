package publisher

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/violation"
)

// writeDocument creates the immutable object of the document and returns its version. The object is not
// read until an index names it, so an object that is left over after a failed change has no effect.
func (p *Publisher) writeDocument(ctx context.Context, proposed proposal.Proposal, doc document.Document) (int64, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Wrap(err, "encoding the document")
	}
	key := index.DocumentKey(proposed.ChangeID(), doc.Team)
	a := attempt{publisher: p, proposed: proposed}
	for {
		version, err := p.createDocument(ctx, key, value)
		if err == nil || errors.Is(err, ErrChangeIDUsed) || errors.Is(err, violation.ErrInvalid) {
			return version, err
		}
		_ = a.backOff(ctx, err)
		if ctx.Err() != nil {
			return 0, a.newTimeoutError()
		}
	}
}

// createDocument tries once to write the object of a document and returns its version. It returns
// ErrChangeIDUsed if the object exists with other content.
func (p *Publisher) createDocument(ctx context.Context, key string, value []byte) (int64, error) {
	version, err := p.store.Put(ctx, key, value, storer.IfAbsent())
	if errors.Is(err, storer.ErrTooLarge) {
		return 0, violation.New("document", err.Error(), "at most 1 MiB as JSON")
	}
	if !errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	stored, err := p.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(stored.Value, value) {
		return 0, errors.Wrapf(ErrChangeIDUsed, "%s holds another document", key)
	}
	// Another publisher may be about to delete the existing object as a replaced document. Writing it again
	// gives it a version that no index has named; a deletion is conditional on the version that an index named.
	return p.store.Put(ctx, key, value, storer.IfVersion(stored.Version))
}

// removeReplaced deletes the oldest replaced documents that the history of an accepted index no longer names,
// up to maxRemovalsPerChange. It returns those that need no further deletion: deleted now, already absent, or
// written again with another version.
func (p *Publisher) removeReplaced(ctx context.Context, accepted index.Index) []index.Replaced {
	var removed []index.Replaced
	removable := accepted.Removable()
	for _, r := range removable[:min(len(removable), maxRemovalsPerChange)] {
		err := p.store.Delete(ctx, r.Key, storer.IfVersion(r.Version))
		if err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrConflict) {
			break
		}
		removed = append(removed, r)
	}
	return removed
}
