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

// maxTries bounds how often a change that loses a race is tried again.
const maxTries = 10

// ErrRaces is returned when a change lost every race.
var ErrRaces = errors.New("change lost every race")

// Applier changes the configuration in the store.
type Applier struct {
	store *storer.Storer
	clock func() time.Time
}

// New returns an applier that writes to the store.
func New(store *storer.Storer, clock func() time.Time) *Applier {
	return &Applier{store: store, clock: clock}
}

// Apply writes a team's document and returns the revision that holds it.
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
	return a.change(ctx, changeID, "apply "+doc.Team, func(i *index.Index) {
		i.Documents = slices.DeleteFunc(i.Documents, func(e index.Entry) bool { return e.Team == doc.Team })
		i.Documents = append(i.Documents, index.Entry{Team: doc.Team, Key: key})
	})
}

// SetZonesOut takes exactly the given availability zones out and returns the revision that says so.
func (a *Applier) SetZonesOut(ctx context.Context, zones ...string) (int64, error) {
	return a.change(ctx, uuid.NewString(), "zones out", func(i *index.Index) {
		i.ZonesOut = append([]string{}, zones...)
	})
}

func (a *Applier) change(ctx context.Context, changeID, summary string, edit func(*index.Index)) (int64, error) {
	for range maxTries {
		current, precondition, err := a.read(ctx)
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
	return 0, errors.Wrapf(ErrRaces, "%d tries", maxTries)
}

// read returns the index and the condition under which it may be replaced.
func (a *Applier) read(ctx context.Context) (index.Index, storer.Precondition, error) {
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
