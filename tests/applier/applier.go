package applier

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/storer"
)

// maxAttempts bounds how often a change is tried when concurrent changes replace the index first.
const maxAttempts = 10

// ErrTooManyConflicts is returned when each attempt to write a change conflicted with a concurrent change.
var ErrTooManyConflicts = errors.New("every attempt to write the index conflicted with a concurrent change")

// Applier changes the configuration in the store.
type Applier struct {
	store *storer.Storer
	clock func() time.Time
}

// New returns an applier that writes to the store.
func New(store *storer.Storer, clock func() time.Time) *Applier {
	return &Applier{store: store, clock: clock}
}

// Apply writes a team's document and returns the first configuration revision that contains it.
func (a *Applier) Apply(ctx context.Context, doc document.Document) (int64, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Wrapf(err, "document of team %s", doc.Team)
	}
	changeID := uuid.NewString()
	key := "config/documents/" + changeID + "/" + doc.Team
	if _, err := a.store.Put(ctx, key, value, storer.IfAbsent()); err != nil {
		return 0, err
	}
	return a.updateIndex(ctx, changeID, "apply "+doc.Team, func(i *index.Index) {
		i.Documents = slices.DeleteFunc(i.Documents, func(e index.Entry) bool { return e.Team == doc.Team })
		i.Documents = append(i.Documents, index.Entry{Team: doc.Team, Key: key})
	})
}

// SetZonesOut takes exactly the given availability zones out of service and returns the revision with this change.
func (a *Applier) SetZonesOut(ctx context.Context, zones ...string) (int64, error) {
	return a.updateIndex(ctx, uuid.NewString(), "zones out", func(i *index.Index) {
		i.ZonesOut = append([]string{}, zones...)
	})
}

// updateIndex applies the edit to the current index, writes it as the next revision and returns that revision.
func (a *Applier) updateIndex(ctx context.Context, changeID, summary string, edit func(*index.Index)) (int64, error) {
	for range maxAttempts {
		current, precondition, err := a.readIndex(ctx)
		if err != nil {
			return 0, err
		}
		edit(&current)
		current.Revision++
		current.ChangeID = changeID
		accepted := index.Change{
			Revision: current.Revision, ChangeID: changeID, Author: "tests", Summary: summary, At: a.clock().UTC(),
		}
		current.History = slices.Insert(current.History, 0, accepted)
		value, err := json.Marshal(current)
		if err != nil {
			return 0, errors.Wrap(err, "index")
		}
		_, err = a.store.Put(ctx, index.Key, value, precondition)
		if !errors.Is(err, storer.ErrConflict) {
			return current.Revision, err
		}
	}
	return 0, errors.Wrapf(ErrTooManyConflicts, "%d attempts", maxAttempts)
}

// readIndex returns the current index and the precondition for a write that replaces exactly this version.
func (a *Applier) readIndex(ctx context.Context) (index.Index, storer.Precondition, error) {
	current := index.Index{Documents: []index.Entry{}, ZonesOut: []string{}, History: []index.Change{}}
	found, err := a.store.Get(ctx, index.Key)
	if errors.Is(err, storer.ErrNotFound) {
		return current, storer.IfAbsent(), nil
	}
	if err != nil {
		return index.Index{}, nil, err
	}
	err = json.Unmarshal(found.Value, &current)
	return current, storer.IfVersion(found.Version), errors.Wrap(err, "index")
}
