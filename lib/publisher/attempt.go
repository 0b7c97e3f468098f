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

// errRetry is returned by attempt.tryOnce if it must be repeated; the package never returns it to a caller.
var errRetry = errors.New("retry")

// attempt is the state of publishing one proposal, from the first read of the index to its update.
type attempt struct {
	publisher *Publisher
	proposed  proposal.Proposal

	// minVersion is the lowest version of the index object that is not known to be outdated.
	minVersion int64
	// baseRevision is the revision that the proposal was made against, nil until it is known.
	baseRevision *int64
	// pending is an update of the index whose reply was lost, nil if there is none.
	pending *pendingUpdate
	// rebaseCount counts the updates that failed because another change was accepted first.
	rebaseCount int
	// removed lists the replaced documents that this attempt removed from the store.
	removed      []index.Replaced
	removalTried bool
	backoff      time.Duration
	// lastErr is the reason why the last call of tryOnce did not finish the attempt.
	lastErr error
}

// pendingUpdate names the version of the index object and the revision that the update was based on.
type pendingUpdate struct {
	version  int64
	revision int64
}

// runUntilDone repeats tryOnce until the outcome of the proposal is known or the context ends.
func (a *attempt) runUntilDone(ctx context.Context) (index.Change, error) {
	if base, ok := a.proposed.Base(); ok {
		a.baseRevision = &base
	}
	for {
		change, err := a.tryOnce(ctx)
		if !errors.Is(err, errRetry) {
			return change, err
		}
		if ctx.Err() != nil {
			return index.Change{}, a.newTimeoutError()
		}
	}
}

// newTimeoutError returns the error of an attempt whose context ended: ErrUnknownOutcome if an update is pending,
// ErrUnavailable otherwise.
func (a *attempt) newTimeoutError() error {
	if a.pending != nil {
		return errors.Wrapf(ErrUnknownOutcome, "%v", a.lastErr)
	}
	return wrapUnavailable(a.lastErr)
}

// tryOnce reads the index and returns the outcome of the proposal if it is known; otherwise it tries one update.
func (a *attempt) tryOnce(ctx context.Context) (index.Change, error) {
	current, version, err := a.publisher.Index(ctx)
	if err != nil {
		return index.Change{}, a.backOff(ctx, err)
	}
	if version < a.minVersion || current.Revision < a.baseRevisionOr(0) {
		return index.Change{}, a.backOff(ctx, errors.Errorf("the store shows an outdated index of revision %d", current.Revision))
	}
	if change, accepted, err := a.findAccepted(current); accepted || err != nil {
		if accepted {
			a.publisher.onAccepted(current, a.proposed)
		}
		return change, err
	}
	if err := a.resolvePending(current, version); err != nil {
		return index.Change{}, err
	}
	if a.pending == nil {
		// A pending update has already passed these checks against the same index.
		if err := a.checkProposal(ctx, current); err != nil {
			return index.Change{}, err
		}
	}
	return a.updateIndex(ctx, current, version)
}

// findAccepted returns the change of the proposal if the index contains it, in its history or as the entry of the team.
func (a *attempt) findAccepted(current index.Index) (index.Change, bool, error) {
	change, found := current.Change(a.proposed.ChangeID())
	if found && (change.Summary != a.proposed.Summary() || change.Author != a.proposed.Author()) {
		return index.Change{}, false, errors.Wrapf(ErrChangeIDUsed, "%s is %q by %s", change.ChangeID, change.Summary, change.Author)
	}
	if found {
		return change, true, nil
	}
	entry, found := a.currentEntry(current)
	if found && entry.Key == index.DocumentKey(a.proposed.ChangeID(), entry.Team) {
		return index.Change{
			Revision: entry.Revision, ChangeID: a.proposed.ChangeID(), Author: a.proposed.Author(), Summary: a.proposed.Summary(),
		}, true, nil
	}
	return index.Change{}, false, nil
}

// resolvePending decides the outcome of an update whose reply was lost: if the index has a newer version and
// its history does not contain the proposal, the update can no longer take effect.
func (a *attempt) resolvePending(current index.Index, version int64) error {
	if a.pending == nil || version <= a.pending.version {
		return nil
	}
	if !current.HasHistorySince(a.pending.revision) {
		return errors.Wrapf(ErrUnknownOutcome, "change %s: the history no longer reaches back to revision %d",
			a.proposed.ChangeID(), a.pending.revision)
	}
	a.pending = nil
	return nil
}

// checkProposal returns an error if the proposal cannot be accepted on top of the index.
func (a *attempt) checkProposal(ctx context.Context, current index.Index) error {
	if a.baseRevision == nil {
		a.baseRevision = &current.Revision
	}
	if entry, found := a.currentEntry(current); found && entry.Revision > *a.baseRevision {
		return newConflictError(current, entry.Revision, *a.baseRevision)
	}
	if a.rebaseCount > a.publisher.maxRebases {
		return newConflictError(current, current.Revision, *a.baseRevision)
	}
	if doc, ok := a.proposed.Document(); ok {
		return a.checkDocument(ctx, current, doc)
	}
	if slices.Contains(current.ZonesOut, a.proposed.Zone()) {
		return nil
	}
	return a.publisher.validator.Zone(a.proposed.Zone())
}

// checkDocument validates the document together with those of all other teams.
func (a *attempt) checkDocument(ctx context.Context, current index.Index, doc document.Document) error {
	snap, err := a.publisher.assembler.Assemble(ctx, current)
	if errors.Is(err, assembler.ErrCorrupt) {
		return err
	}
	if err != nil {
		return a.backOff(ctx, err)
	}
	return a.publisher.validator.Snapshot(replaceDocument(snap, doc))
}

// updateIndex writes the index on condition that it has not changed; the proposal is accepted by this write alone.
func (a *attempt) updateIndex(ctx context.Context, current index.Index, version int64) (index.Change, error) {
	next := a.proposed.ApplyTo(current).WithoutReplaced(a.removeReplacedOnce(ctx, current)...)
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
		a.publisher.onAccepted(next, a.proposed)
		return next.History[0], nil
	case errors.Is(err, storer.ErrConflict):
		a.minVersion = version + 1
		a.rebaseCount++
		a.lastErr = err
		return index.Change{}, errRetry
	case errors.Is(err, storer.ErrTooLarge):
		return index.Change{}, violation.New("document", err.Error(), "as many teams as the index can name")
	case errors.Is(err, storer.ErrUnavailable):
		return index.Change{}, a.backOff(ctx, err)
	}
	a.minVersion = version
	a.pending = &pendingUpdate{version: version, revision: current.Revision}
	return index.Change{}, a.backOff(ctx, err)
}

// removeReplacedOnce removes replaced documents from the store, at most once in an attempt, and returns those that were
// removed. Changes of availability zones skip it, so that they need not wait for the deletions.
func (a *attempt) removeReplacedOnce(ctx context.Context, current index.Index) []index.Replaced {
	if _, ok := a.proposed.Document(); ok && !a.removalTried {
		a.removalTried = true
		a.removed = a.publisher.removeReplaced(ctx, current)
	}
	return a.removed
}

// currentEntry returns the entry of the team whose document is proposed.
func (a *attempt) currentEntry(current index.Index) (index.Entry, bool) {
	doc, ok := a.proposed.Document()
	if !ok {
		return index.Entry{}, false
	}
	return current.Entry(doc.Team)
}

// baseRevisionOr returns the revision that the proposal was made against, or other if it is not known.
func (a *attempt) baseRevisionOr(other int64) int64 {
	if a.baseRevision == nil {
		return other
	}
	return *a.baseRevision
}

// backOff pauses, each time for longer up to maxBackoff, and returns errRetry.
func (a *attempt) backOff(ctx context.Context, err error) error {
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	// An error means that the context ended, which the caller checks itself.
	_ = a.publisher.pause(ctx, a.backoff)
	a.lastErr = err
	return errRetry
}

// newConflictError names the conflicting change if the history still contains it.
func newConflictError(current index.Index, revision, base int64) error {
	for _, change := range current.History {
		if change.Revision == revision {
			return errors.Wrapf(ErrConflict, "change %s (%s) by %s at revision %d, after the base revision %d",
				change.ChangeID, change.Summary, change.Author, revision, base)
		}
	}
	return errors.Wrapf(ErrConflict, "a change at revision %d, after the base revision %d", revision, base)
}
