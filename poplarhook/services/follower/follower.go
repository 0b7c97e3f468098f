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

// ErrForgotten says that a source no longer knows the changes since a revision.
var ErrForgotten = errors.New("changes are forgotten")

// source lists and watches items; its errors are those that WithForgotten names, and others that pass.
type source[T any] interface {
	List(ctx context.Context) (map[string]T, int64, error)
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]change.Change[T], int64, error)
}

// shelf takes each newer view.
type shelf[T any] interface {
	PutList(v view.View[T])
	PutWatched(v view.View[T])
}

// Follower follows one source.
type Follower[T any] struct {
	options
	name   string
	source source[T]
	shelf  shelf[T]

	// view has revision zero until the items are listed, and again when their history is gone.
	view view.View[T]
	lost bool
}

const (
	// defaultWait is the longest that the platform lets a watch wait, less a reserve.
	defaultWait = 25 * time.Second
	// callSlack is how much longer than its wait a call may take, a slow store included.
	callSlack = time.Second
	// firstBackoff and lastBackoff bound the pause after a failed call; the last stays well under the time that
	// hosts have to be up to date after an outage.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
)

// Option changes how a Follower is built.
type Option func(*options)

type options struct {
	clock     func() time.Time
	wait      time.Duration
	pause     time.Duration
	forgotten error
	forget    func()
	listed    func(revision int64)
	changed   func(changes int)
	logger    *zap.Logger
}

// WithWait sets how long a watch may wait for a change.
func WithWait(wait time.Duration) Option {
	return func(o *options) { o.wait = wait }
}

// WithTally sets what is told the revision of each list, and how many changes each watch brought.
func WithTally(listed func(revision int64), changed func(changes int)) Option {
	return func(o *options) { o.listed, o.changed = listed, changed }
}

// WithPause lets changes gather for some time before they are read.
func WithPause(pause time.Duration) Option {
	return func(o *options) { o.pause = pause }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(o *options) { o.clock = clock }
}

// WithForgotten names the source's error after which the items are listed anew, and what is called then.
func WithForgotten(err error, forget func()) Option {
	return func(o *options) { o.forgotten, o.forget = err, forget }
}

// WithLogger sets where the loss of the source and its return are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// New returns a Follower that lists the items, then watches them, and puts each new view on the shelf.
func New[T any](name string, s source[T], on shelf[T], opts ...Option) *Follower[T] {
	f := &Follower[T]{name: name, source: s, shelf: on, options: options{
		clock:     time.Now,
		wait:      defaultWait,
		forgotten: ErrForgotten,
		forget:    func() {},
		listed:    func(int64) {},
		changed:   func(int) {},
		logger:    zap.NewNop(),
	}}
	for _, option := range opts {
		option(&f.options)
	}
	return f
}

// Run follows until the context ends; the channel gives the end.
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
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = firstBackoff
			f.regained()
			_ = pauser.Pause(ctx, f.pause)
		case errors.Is(err, f.forgotten):
			f.logger.Warn("history of the store is gone, listing anew", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision))
			f.view.Revision = 0
			f.forget()
		default:
			f.failed(ctx, err)
			_ = pauser.Pause(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
		}
	}
}

// step makes one call and applies what it brings.
func (f *Follower[T]) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout())
	defer cancel()
	if f.view.Revision == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower[T]) callTimeout() time.Duration {
	if f.view.Revision == 0 {
		return callSlack
	}
	return f.wait + callSlack
}

func (f *Follower[T]) list(ctx context.Context) error {
	items, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.view = view.View[T]{Items: items, Revision: revision, HeardAt: f.clock()}
	f.listed(revision)
	f.shelf.PutList(f.view)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	changes, revision, err := f.source.Watch(ctx, f.view.Revision, f.wait)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		// Without changes the history from the old revision on would be gone some time.
		f.view.Revision = max(revision, f.view.Revision)
		f.view.HeardAt = f.clock()
		return nil
	}
	f.changed(len(changes))
	f.view = f.view.With(changes, max(revision, f.view.Revision), f.clock())
	f.shelf.PutWatched(f.view)
	return nil
}

func (f *Follower[T]) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.logger.Warn("watch lost", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision),
		zap.Duration("age", f.clock().Sub(f.view.HeardAt)), zap.String("error", err.Error()))
}

func (f *Follower[T]) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.logger.Info("watch regained", zap.String("feed", f.name), zap.Int64("revision", f.view.Revision))
}
