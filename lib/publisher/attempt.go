package publisher

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/violation"
)

// errAgain asks for another step; it never leaves the package.
var errAgain = errors.New("again")

// attempt is the course of one proposal, from reading the index to its update.
type attempt struct {
	publisher *Publisher
	wanted    proposal.Proposal

	// floor is the lowest version of the index that is not known to be outdated.
	floor int64
	// base is the revision that the proposal was made against, once known.
	base *int64
	// pending is an update whose reply was lost.
	pending *pending
	rebases int
	// removed lists the replaced documents that this attempt has removed, once it has tried.
	removed      []index.Replaced
	triedRemoval bool
	backoff      time.Duration
	// cause is why the last step came to nothing.
	cause error
}

type pending struct {
	version  int64
	revision int64
}

func (a *attempt) run(ctx context.Context) (index.Change, error) {
	if base, given := a.wanted.Base(); given {
		a.base = &base
	}
	for {
		change, err := a.step(ctx)
		if !errors.Is(err, errAgain) {
			return change, err
		}
		if ctx.Err() != nil {
			return index.Change{}, a.outOfTime()
		}
	}
}

func (a *attempt) outOfTime() error {
	if a.pending != nil {
		return errors.Wrapf(ErrUnknownOutcome, "%v", a.cause)
	}
	return unavailable(a.cause)
}

// step reads the index, answers if the outcome is known, and tries one update otherwise.
func (a *attempt) step(ctx context.Context) (index.Change, error) {
	current, version, err := a.publisher.Index(ctx)
	if err != nil {
		return index.Change{}, a.wait(ctx, err)
	}
	if version < a.floor || current.Revision < a.baseOr(0) {
		return index.Change{}, a.wait(ctx, errors.Errorf("the store shows an outdated index of revision %d", current.Revision))
	}
	if change, accepted, err := a.accepted(current); accepted || err != nil {
		if accepted {
			a.publisher.accepted(current, a.wanted)
		}
		return change, err
	}
	if err := a.settle(current, version); err != nil {
		return index.Change{}, err
	}
	if a.pending == nil {
		// A pending update has passed these checks on top of this very index.
		if err := a.refuse(ctx, current); err != nil {
			return index.Change{}, err
		}
	}
	return a.update(ctx, current, version)
}

// accepted looks for the proposal among the changes that an index holds.
func (a *attempt) accepted(current index.Index) (index.Change, bool, error) {
	change, found := current.Change(a.wanted.ChangeID())
	if found && (change.Summary != a.wanted.Summary() || change.Author != a.wanted.Author()) {
		return index.Change{}, false, errors.Wrapf(ErrChangeIDUsed, "%s is %q by %s", change.ChangeID, change.Summary, change.Author)
	}
	if found {
		return change, true, nil
	}
	entry, found := a.entry(current)
	if found && entry.Key == index.DocumentKey(a.wanted.ChangeID(), entry.Team) {
		return index.Change{
			Revision: entry.Revision, ChangeID: a.wanted.ChangeID(), Author: a.wanted.Author(), Summary: a.wanted.Summary(),
		}, true, nil
	}
	return index.Change{}, false, nil
}

// settle decides a lost reply: once the index has moved on without the
// proposal in its history, the update can no longer apply.
func (a *attempt) settle(current index.Index, version int64) error {
	if a.pending == nil || version <= a.pending.version {
		return nil
	}
	if !current.Remembers(a.pending.revision) {
		return errors.Wrapf(ErrUnknownOutcome, "change %s: the history no longer reaches back to revision %d",
			a.wanted.ChangeID(), a.pending.revision)
	}
	a.pending = nil
	return nil
}

// refuse returns why the proposal cannot be accepted on top of the index.
func (a *attempt) refuse(ctx context.Context, current index.Index) error {
	if a.base == nil {
		a.base = &current.Revision
	}
	if entry, found := a.entry(current); found && entry.Revision > *a.base {
		return conflict(current, entry.Revision, *a.base)
	}
	if a.rebases > a.publisher.rebases {
		return conflict(current, current.Revision, *a.base)
	}
	if doc, is := a.wanted.Document(); is {
		return a.refuseDocument(ctx, current, doc)
	}
	if slices.Contains(current.ZonesOut, a.wanted.Zone()) {
		return nil
	}
	return a.publisher.validator.Zone(a.wanted.Zone())
}

// refuseDocument checks the document beside those of all other teams.
func (a *attempt) refuseDocument(ctx context.Context, current index.Index, doc document.Document) error {
	snap, err := a.publisher.documents.Assemble(ctx, current)
	if errors.Is(err, assembler.ErrCorrupt) {
		return err
	}
	if err != nil {
		return a.wait(ctx, err)
	}
	return a.publisher.validator.Snapshot(with(snap, doc))
}

// update makes the one conditional write that is the moment of acceptance.
func (a *attempt) update(ctx context.Context, current index.Index, version int64) (index.Change, error) {
	next := a.wanted.ApplyTo(current).WithoutReplaced(a.remove(ctx, current)...)
	value, err := json.Marshal(next)
	if err != nil {
		return index.Change{}, errors.Wrap(err, "encoding the index")
	}
	condition := storer.IfVersion(version)
	if version == 0 {
		condition = storer.IfAbsent()
	}
	_, err = a.publisher.store.Put(ctx, index.Key, value, condition)
	switch {
	case err == nil:
		a.publisher.accepted(next, a.wanted)
		return next.History[0], nil
	case errors.Is(err, storer.ErrConflict):
		a.floor = version + 1
		a.rebases++
		a.cause = err
		return index.Change{}, errAgain
	case errors.Is(err, storer.ErrTooLarge):
		return index.Change{}, violation.New("document", err.Error(), "as many teams as the index can name")
	case errors.Is(err, storer.ErrUnavailable):
		return index.Change{}, a.wait(ctx, err)
	}
	a.floor = version
	a.pending = &pending{version: version, revision: current.Revision}
	return index.Change{}, a.wait(ctx, err)
}

// remove removes replaced documents once for each change of a document; changes of zones wait for nothing.
func (a *attempt) remove(ctx context.Context, current index.Index) []index.Replaced {
	if _, is := a.wanted.Document(); is && !a.triedRemoval {
		a.triedRemoval = true
		a.removed = a.publisher.removeReplaced(ctx, current)
	}
	return a.removed
}

func (a *attempt) entry(current index.Index) (index.Entry, bool) {
	doc, is := a.wanted.Document()
	if !is {
		return index.Entry{}, false
	}
	return current.Entry(doc.Team)
}

func (a *attempt) baseOr(other int64) int64 {
	if a.base == nil {
		return other
	}
	return *a.base
}

// wait pauses longer each time and returns errAgain.
func (a *attempt) wait(ctx context.Context, cause error) error {
	a.backoff = min(max(2*a.backoff, shortestBackoff), longestBackoff)
	// A pause that the context cuts short is seen by the caller in the context.
	_ = a.publisher.pause(ctx, a.backoff)
	a.cause = cause
	return errAgain
}

func conflict(current index.Index, revision, base int64) error {
	for _, change := range current.History {
		if change.Revision == revision {
			return errors.Wrapf(ErrConflict, "change %s (%s) by %s at revision %d, after the base revision %d",
				change.ChangeID, change.Summary, change.Author, revision, base)
		}
	}
	return errors.Wrapf(ErrConflict, "a change at revision %d, after the base revision %d", revision, base)
}
