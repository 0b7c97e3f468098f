package publisher

import (
	"context"
	"regexp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/violation"
)

var (
	// ErrConflict means that the change was not accepted because a conflicting change was accepted first.
	ErrConflict = errors.New("another change was accepted first")
	// ErrChangeIDUsed means that the change id is already used for a different change.
	ErrChangeIDUsed = errors.New("change id is used for a different change")
	// ErrUnavailable means that the store was not available in time and that nothing was changed.
	ErrUnavailable = errors.New("the configuration is out of reach, nothing was changed")
	// ErrUnknownOutcome means that the change may have been accepted; publishing it again with the same id
	// gives the outcome.
	ErrUnknownOutcome = errors.New("outcome of the change unknown")
	// ErrUnknownChange means that the history of the index contains no change with the given id.
	ErrUnknownChange = errors.New("no such change in the history")
)

const (
	defaultMaxRebases = 16
	minBackoff        = 20 * time.Millisecond
	maxBackoff        = time.Second
	// maxRemovalsPerChange limits the replaced documents that one change of a document deletes; the change itself
	// adds one to the index's list of replaced documents.
	maxRemovalsPerChange = 2
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// Store reads, conditionally writes and deletes the objects of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
	Delete(ctx context.Context, key string, preconditions ...storer.Precondition) error
}

// Validator checks one document, the documents of all teams together, or the name of an availability zone.
type Validator interface {
	Document(doc document.Document) error
	Snapshot(snap snapshot.Snapshot) error
	Zone(zone string) error
}

// Publisher commits proposals to the store. It keeps no state that other components depend on and is safe for
// concurrent use.
type Publisher struct {
	store      Store
	validator  Validator
	assembler  *assembler.Assembler
	maxRebases int
	onAccepted func(x index.Index, proposed proposal.Proposal)
	pause      func(ctx context.Context, wait time.Duration) error
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithMaxRebases sets how many times a proposal is tried again on top of other changes that were accepted
// meanwhile and do not conflict with it.
func WithMaxRebases(n int) Option {
	return func(p *Publisher) { p.maxRebases = n }
}

// WithOnAccepted sets the function that is called with the index as soon as it contains a proposal, so that the
// host can apply the index and send it to other hosts even if the store fails right afterwards.
func WithOnAccepted(onAccepted func(x index.Index, proposed proposal.Proposal)) Option {
	return func(p *Publisher) { p.onAccepted = onAccepted }
}

// WithPause sets the function that waits between two attempts, for instance while the store is unavailable.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(p *Publisher) { p.pause = pause }
}

// New returns a publisher that writes to the store the proposals that the validator accepts.
func New(store Store, validator Validator, options ...Option) *Publisher {
	p := &Publisher{
		store:      store,
		validator:  validator,
		assembler:  assembler.New(store),
		maxRebases: defaultMaxRebases,
		onAccepted: func(index.Index, proposal.Proposal) {},
		pause:      pauser.Pause,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Publish commits the proposal and returns the accepted change. If the same proposal was already accepted, it
// returns that change, so a caller may repeat the call until it gets an answer. The errors are ErrConflict,
// ErrChangeIDUsed, ErrUnavailable and violation.ErrInvalid for a change that was not accepted, and
// ErrUnknownOutcome if the reply of the store was lost and the context ended before the outcome was known.
func (p *Publisher) Publish(ctx context.Context, proposed proposal.Proposal) (index.Change, error) {
	if err := p.validate(proposed); err != nil {
		return index.Change{}, err
	}
	if doc, ok := proposed.Document(); ok {
		version, err := p.writeDocument(ctx, proposed, doc)
		if err != nil {
			return index.Change{}, err
		}
		proposed = proposed.WithDocumentVersion(version)
	}
	a := attempt{publisher: p, proposed: proposed}
	return a.runUntilDone(ctx)
}

// Check validates the document together with the current documents of the other teams, without changing anything.
func (p *Publisher) Check(ctx context.Context, doc document.Document) error {
	if err := p.validator.Document(doc); err != nil {
		return err
	}
	snap, err := p.Snapshot(ctx)
	if err != nil {
		return err
	}
	return p.validator.Snapshot(replaceDocument(snap, doc))
}

// Index returns the current index and the version of its object, which is zero before the first change.
func (p *Publisher) Index(ctx context.Context) (index.Index, int64, error) {
	stored, err := p.store.Get(ctx, index.Key)
	if errors.Is(err, storer.ErrNotFound) {
		return index.Index{}, 0, nil
	}
	if err != nil {
		return index.Index{}, 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	x, err := assembler.Decode(stored)
	return x, stored.Version, err
}

// Snapshot returns the whole current configuration.
func (p *Publisher) Snapshot(ctx context.Context) (snapshot.Snapshot, error) {
	x, _, err := p.Index(ctx)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	snap, err := p.assembler.Assemble(ctx, x)
	return snap, wrapUnavailable(err)
}

// Change returns an accepted change by its id, or ErrUnknownChange if the index's history lacks it.
func (p *Publisher) Change(ctx context.Context, id string) (index.Change, error) {
	x, _, err := p.Index(ctx)
	if err != nil {
		return index.Change{}, err
	}
	change, found := x.Change(id)
	if !found {
		return index.Change{}, errors.Wrapf(ErrUnknownChange, "%.64q", id)
	}
	return change, nil
}

func (p *Publisher) validate(proposed proposal.Proposal) error {
	if !changeIDPattern.MatchString(proposed.ChangeID()) {
		return violation.New("change_id", proposed.ChangeID(), "8 to 64 characters of A-Z, a-z, 0-9, _ and -")
	}
	if doc, ok := proposed.Document(); ok {
		return p.validator.Document(doc)
	}
	return nil
}

// replaceDocument returns a copy of the snapshot in which the given document replaces that of its team.
func replaceDocument(snap snapshot.Snapshot, doc document.Document) snapshot.Snapshot {
	documents := slices.DeleteFunc(slices.Clone(snap.Documents), func(d document.Document) bool { return d.Team == doc.Team })
	documents = append(documents, doc)
	snap.Documents = documents
	return snap
}

// wrapUnavailable wraps an error of the store in ErrUnavailable, except ErrCorrupt, which waiting does not resolve.
func wrapUnavailable(err error) error {
	if err == nil || errors.Is(err, assembler.ErrCorrupt) || errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Wrapf(ErrUnavailable, "%v", err)
}
