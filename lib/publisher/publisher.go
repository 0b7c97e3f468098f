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
	// ErrConflict means that another change won, so this one was not accepted.
	ErrConflict = errors.New("another change was accepted first")
	// ErrChangeIDUsed means that the change id belongs to a different change.
	ErrChangeIDUsed = errors.New("change id is used for a different change")
	// ErrUnavailable means that the store could not be used in time, and nothing was changed.
	ErrUnavailable = errors.New("the configuration is out of reach, nothing was changed")
	// ErrUnknownOutcome means that the change may have been accepted; asking again with its id tells.
	ErrUnknownOutcome = errors.New("outcome of the change unknown")
	// ErrUnknownChange means that the history holds no change of an id.
	ErrUnknownChange = errors.New("no such change in the history")
)

const (
	defaultRebases  = 16
	shortestBackoff = 20 * time.Millisecond
	longestBackoff  = time.Second
	// maxRemovals is how many replaced documents one change of a document removes; each lists one more.
	maxRemovals = 2
)

var changeIDs = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// Store reads, conditionally writes and deletes the objects of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error)
	Delete(ctx context.Context, key string, preconditions ...storer.Precondition) error
}

// Validator checks a document alone, and every document together.
type Validator interface {
	Document(doc document.Document) error
	Snapshot(snap snapshot.Snapshot) error
	Zone(zone string) error
}

// Publisher gets proposals accepted; it holds no state that others depend on
// and is safe for concurrent use.
type Publisher struct {
	store     Store
	validator Validator
	documents *assembler.Assembler
	rebases   int
	accepted  func(x index.Index, wanted proposal.Proposal)
	pause     func(ctx context.Context, wait time.Duration) error
}

// Option changes how a publisher works.
type Option func(*Publisher)

// WithRebases sets how many times a change starts again on top of changes that do not touch it.
func WithRebases(n int) Option {
	return func(p *Publisher) { p.rebases = n }
}

// WithAccepted sets what is told of an index as soon as it holds a proposal,
// so that the host can apply it and hand it on though the store goes out next.
func WithAccepted(accepted func(x index.Index, wanted proposal.Proposal)) Option {
	return func(p *Publisher) { p.accepted = accepted }
}

// WithPause sets how the publisher waits between two calls to an unavailable store.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(p *Publisher) { p.pause = pause }
}

// New returns a publisher that writes to the store what the validator passes.
func New(store Store, validator Validator, options ...Option) *Publisher {
	p := &Publisher{
		store:     store,
		validator: validator,
		documents: assembler.New(store),
		rebases:   defaultRebases,
		accepted:  func(index.Index, proposal.Proposal) {},
		pause:     pauser.Pause,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Publish returns the accepted change. A proposal with the id of an accepted
// change returns that change, so it may be repeated until it is answered. The
// errors are ErrConflict, ErrChangeIDUsed, ErrUnavailable and
// violation.ErrInvalid for a change that is not accepted, and
// ErrUnknownOutcome when the context ends before a lost reply is settled.
func (p *Publisher) Publish(ctx context.Context, wanted proposal.Proposal) (index.Change, error) {
	if err := p.check(wanted); err != nil {
		return index.Change{}, err
	}
	if doc, is := wanted.Document(); is {
		version, err := p.writeDocument(ctx, wanted, doc)
		if err != nil {
			return index.Change{}, err
		}
		wanted = wanted.WithDocumentVersion(version)
	}
	a := attempt{publisher: p, wanted: wanted}
	return a.run(ctx)
}

// Check returns what would refuse the document beside the others in force, and changes nothing.
func (p *Publisher) Check(ctx context.Context, doc document.Document) error {
	if err := p.validator.Document(doc); err != nil {
		return err
	}
	snap, err := p.Snapshot(ctx)
	if err != nil {
		return err
	}
	return p.validator.Snapshot(with(snap, doc))
}

// Index returns the index that is in force and the version of its object, zero before the first change.
func (p *Publisher) Index(ctx context.Context) (index.Index, int64, error) {
	found, err := p.store.Get(ctx, index.Key)
	if errors.Is(err, storer.ErrNotFound) {
		return index.Index{}, 0, nil
	}
	if err != nil {
		return index.Index{}, 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	x, err := assembler.Decode(found)
	return x, found.Version, err
}

// Snapshot returns the whole configuration in force.
func (p *Publisher) Snapshot(ctx context.Context) (snapshot.Snapshot, error) {
	x, _, err := p.Index(ctx)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	snap, err := p.documents.Assemble(ctx, x)
	return snap, unavailable(err)
}

// Change returns an accepted change by its id, or ErrUnknownChange if the history does not hold it.
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

func (p *Publisher) check(wanted proposal.Proposal) error {
	if !changeIDs.MatchString(wanted.ChangeID()) {
		return violation.New("change_id", wanted.ChangeID(), "8 to 64 characters of A-Z, a-z, 0-9, _ and -")
	}
	if doc, is := wanted.Document(); is {
		return p.validator.Document(doc)
	}
	return nil
}

// with returns a snapshot in which the team's document is the given one.
func with(snap snapshot.Snapshot, doc document.Document) snapshot.Snapshot {
	documents := slices.DeleteFunc(slices.Clone(snap.Documents), func(d document.Document) bool { return d.Team == doc.Team })
	documents = append(documents, doc)
	snap.Documents = documents
	return snap
}

// unavailable returns ErrUnavailable for every fault of the store but one that waiting does not mend.
func unavailable(err error) error {
	if err == nil || errors.Is(err, assembler.ErrCorrupt) || errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Wrapf(ErrUnavailable, "%v", err)
}
