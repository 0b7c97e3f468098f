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

// writeDocument creates the immutable object that the index will name and
// returns its version. Until then nothing reads it, so one that is left behind
// changes nothing.
func (p *Publisher) writeDocument(ctx context.Context, wanted proposal.Proposal, doc document.Document) (int64, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Wrap(err, "encoding the document")
	}
	key := index.DocumentKey(wanted.ChangeID(), doc.Team)
	a := attempt{publisher: p, wanted: wanted}
	for {
		version, err := p.createOnce(ctx, key, value)
		if err == nil || errors.Is(err, ErrChangeIDUsed) || errors.Is(err, violation.ErrInvalid) {
			return version, err
		}
		_ = a.wait(ctx, err)
		if ctx.Err() != nil {
			return 0, a.outOfTime()
		}
	}
}

func (p *Publisher) createOnce(ctx context.Context, key string, value []byte) (int64, error) {
	version, err := p.store.Put(ctx, key, value, storer.IfAbsent())
	if errors.Is(err, storer.ErrTooLarge) {
		return 0, violation.New("document", err.Error(), "at most 1 MiB as JSON")
	}
	if !errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	found, err := p.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(found.Value, value) {
		return 0, errors.Wrapf(ErrChangeIDUsed, "%s holds another document", key)
	}
	// The object that is there may be about to be removed as one replaced long ago. Written anew it
	// has a version that no index has named, and a removal is bound to the version that one did.
	return p.store.Put(ctx, key, value, storer.IfVersion(found.Version))
}

// removeReplaced removes the longest replaced documents that the history of an
// accepted index no longer names, and returns those that are surely gone.
func (p *Publisher) removeReplaced(ctx context.Context, accepted index.Index) []index.Replaced {
	var gone []index.Replaced
	removable := accepted.Removable()
	for _, r := range removable[:min(len(removable), maxRemovals)] {
		err := p.store.Delete(ctx, r.Key, storer.IfVersion(r.Version))
		if err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrConflict) {
			break
		}
		gone = append(gone, r)
	}
	return gone
}
