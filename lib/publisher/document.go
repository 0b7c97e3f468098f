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

// writeDocument creates the immutable object that the index will name. Until
// then nothing reads it, so one that is left behind changes nothing.
func (p *Publisher) writeDocument(ctx context.Context, wanted proposal.Proposal, doc document.Document) error {
	value, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encoding the document")
	}
	key := index.DocumentKey(wanted.ChangeID(), doc.Team)
	a := attempt{publisher: p, wanted: wanted}
	for {
		err := p.createOnce(ctx, key, value)
		if err == nil || errors.Is(err, ErrChangeIDUsed) || errors.Is(err, violation.ErrInvalid) {
			return err
		}
		_ = a.wait(ctx, err)
		if ctx.Err() != nil {
			return a.outOfTime()
		}
	}
}

func (p *Publisher) createOnce(ctx context.Context, key string, value []byte) error {
	_, err := p.store.Put(ctx, key, value, storer.IfAbsent())
	if errors.Is(err, storer.ErrTooLarge) {
		return violation.New("document", err.Error(), "at most 1 MiB as JSON")
	}
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	found, err := p.store.Get(ctx, key)
	if err == nil && !bytes.Equal(found.Value, value) {
		return errors.Wrapf(ErrChangeIDUsed, "%s holds another document", key)
	}
	return err
}
