package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/change"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/view"
)

// ErrHistoryGone means that a source no longer has the changes since the revision that a watch named.
var ErrHistoryGone = errors.New("changes since the revision are no longer available")

// source lists and watches items. Every error but the one set by WithHistoryGone is temporary.
type source[T any] interface {
	List(ctx context.Context) (map[string]T, int64, error)
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]change.Change[T], int64, error)
}

// replica receives each newer view.
type replica[T any] interface {
	PutList(v view.View[T])
	PutWatched(v view.View[T])
}

// Follower lists and watches the items of one source.
type Follower[T any] struct {
	options
	name   string
	source source[T]
	target replica[T]

	// view has revision zero until the items are listed, and again when the source no longer has their history.
	view       view.View[T]
	sourceLost bool
}

const (
	// defaultWait is a little less than the longest wait that the platform allows a watch.
	defaultWait = 25 * time.Second
	// callMargin is how much longer than its wait a call may take, so that a slow store can still answer.
	callMargin = time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call. maxBackoff is well below the time within which
	// hosts must be up to date after an outage.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Option changes how a Follower is built.
type Option func(*options)

type options struct {
	clock          func() time.Time
	watchWait      time.Duration
	pauseAfterCall time.Duration
	historyGone    error
	onHistoryGone  func()
	onList         func(revision int64)
	onChanges      func(changes int)
	readClock      func() time.Duration
	onListed       func(at time.Duration)
	onWatched      func(at time.Duration)
	logger         *zap.Logger
}

// WithWait sets how long a watch may wait for a change.
func WithWait(wait time.Duration) Option {
	return func(o *options) { o.watchWait = wait }
}

// WithTally sets the functions that are called with the revision of each list and the number of changes of each watch.
func WithTally(listed func(revision int64), changed func(changes int)) Option {
	return func(o *options) { o.onList, o.onChanges = listed, changed }
}

// WithConfirmations sets the functions that are called after the result of each list and of each watch was applied, with
// the time before the call: the view was current then, provided that the source answers watches correctly.
func WithConfirmations(clock func() time.Duration, listed, watched func(at time.Duration)) Option {
	return func(o *options) { o.readClock, o.onListed, o.onWatched = clock, listed, watched }
}

// WithPause sets a pause after each successful call, so that the next watch returns several changes in one answer.
func WithPause(pause time.Duration) Option {
	return func(o *options) { o.pauseAfterCall = pause }
}

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option {
	return func(o *options) { o.clock = clock }
}

// WithHistoryGone sets the error of the source after which the items are listed again, and the function called then.
func WithHistoryGone(err error, forget func()) Option {
	return func(o *options) { o.historyGone, o.onHistoryGone = err, forget }
}

// WithLogger sets the logger, which records when the source stops and resumes answering.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// New returns a Follower that lists the items, then watches them, and passes each new view to the target.
func New[T any](name string, s source[T], target replica[T], opts ...Option) *Follower[T] {
	f := &Follower[T]{name: name, source: s, target: target, options: options{
		clock:         time.Now,
		watchWait:     defaultWait,
		historyGone:   ErrHistoryGone,
		onHistoryGone: func() {},
		onList:        func(int64) {},
		onChanges:     func(int) {},
		readClock:     func() time.Duration { return 0 },
		onListed:      func(time.Duration) {},
		onWatched:     func(time.Duration) {},
		logger:        zap.NewNop(),
	}}
	for _, option := range opts {
		option(&f.options)
	}
	return f
}

// Run follows the source until the context ends; the channel receives nil at the end.
func (f *Follower[T]) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		f.run(ctx)
		done <- nil
	}()
	return done
}

func (f *Follower[T]) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.callSource(ctx)
		switch {
		case err == nil:
			backoff = firstBackoff
			f.reportRegained()
			_ = pauser.Pause(ctx, f.pauseAfterCall)
		case errors.Is(err, f.historyGone):
			f.logger.Warn("store no longer has the history; listing everything again", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision))
			f.view.Revision = 0
			f.onHistoryGone()
		default:
			f.reportLost(ctx, err)
			_ = pauser.Pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// callSource makes one call, a list or a watch, and applies its result.
func (f *Follower[T]) callSource(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout())
	defer cancel()
	if f.view.Revision == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// callTimeout returns the timeout of the next call: callMargin for a list, the wait time and callMargin for
// a watch.
func (f *Follower[T]) callTimeout() time.Duration {
	if f.view.Revision == 0 {
		return callMargin
	}
	return f.watchWait + callMargin
}

func (f *Follower[T]) list(ctx context.Context) error {
	calledAt := f.readClock()
	items, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.view = view.View[T]{Items: items, Revision: revision, ConfirmedAt: f.clock()}
	f.onList(revision)
	f.target.PutList(f.view)
	f.onListed(calledAt)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	calledAt := f.readClock()
	changes, revision, err := f.source.Watch(ctx, f.view.Revision, f.watchWait)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		// If the watched revision stayed the same while nothing changes, the source would at some time no longer have the
		// changes since that revision.
		f.view.Revision = max(revision, f.view.Revision)
		f.view.ConfirmedAt = f.clock()
		f.onWatched(calledAt)
		return nil
	}
	f.onChanges(len(changes))
	f.view = f.view.WithChanges(changes, max(revision, f.view.Revision), f.clock())
	f.target.PutWatched(f.view)
	f.onWatched(calledAt)
	return nil
}

// reportLost logs the first failed call after a successful one, unless the context has ended.
func (f *Follower[T]) reportLost(ctx context.Context, err error) {
	if f.sourceLost || ctx.Err() != nil {
		return
	}
	f.sourceLost = true
	f.logger.Warn("watch failed", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision),
		zap.Duration("age", f.clock().Sub(f.view.ConfirmedAt)), zap.String("error", err.Error()))
}

// reportRegained logs the first successful call after a failed one.
func (f *Follower[T]) reportRegained() {
	if !f.sourceLost {
		return
	}
	f.sourceLost = false
	f.logger.Info("watch works again", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision))
}
