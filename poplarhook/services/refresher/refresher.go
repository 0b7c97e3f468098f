package refresher

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/lister"
	"poplarhook.example/poplarhook/models/directory"
)

// hostLister reads the host list, waiting up to the given time for a version newer than the given one.
type hostLister interface {
	List(ctx context.Context, after int64, wait time.Duration) (int64, []host.Host, error)
}

// Refresher passes every new version of the host list to a function.
type Refresher struct {
	hosts   hostLister
	receive func(*directory.Directory)
	logger  *zap.Logger
	wait    time.Duration
	pause   time.Duration
}

// Option changes how a Refresher is built.
type Option func(*Refresher)

// WithWait sets how long one call of the platform waits for a newer version of the host list.
func WithWait(wait time.Duration) Option {
	return func(r *Refresher) { r.wait = wait }
}

// WithLogger sets the logger for when the host list becomes unreachable or reachable again.
func WithLogger(logger *zap.Logger) Option {
	return func(r *Refresher) { r.logger = logger }
}

const (
	defaultWait = 20 * time.Second
	// defaultPause is the pause after a call that failed to read the host list.
	defaultPause = 500 * time.Millisecond
)

// New returns a Refresher that calls receive with every new version of the host list.
func New(l hostLister, receive func(*directory.Directory), options ...Option) *Refresher {
	r := &Refresher{
		hosts:   l,
		receive: receive,
		logger:  zap.NewNop(),
		wait:    defaultWait,
		pause:   defaultPause,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run watches the host list until the context ends. The returned channel gets nil when the Refresher has stopped.
func (r *Refresher) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		r.watch(ctx)
		done <- nil
	}()
	return done
}

// watch reads the host list again and again, and passes on each version that is newer than the one before.
func (r *Refresher) watch(ctx context.Context) {
	var version int64
	failing := false
	for ctx.Err() == nil {
		next, hosts, err := r.hosts.List(ctx, version, r.wait)
		if errors.Is(err, lister.ErrUnchanged) {
			continue
		}
		if err == nil && next > version {
			version = next
			r.receive(directory.New(version, hosts))
		}
		failing = r.logAvailability(ctx, failing, err)
		if err != nil {
			waitForPause(ctx, r.pause)
		}
	}
}

// logAvailability logs when the host list becomes unreachable or reachable again, and reports whether it is unreachable
// now. The parameter failing says whether it was unreachable before; after the context has ended it stays as it was.
func (r *Refresher) logAvailability(ctx context.Context, failing bool, err error) bool {
	if ctx.Err() != nil || failing == (err != nil) {
		return failing
	}
	if err != nil {
		r.logger.Warn("host list unreachable", zap.String("error", err.Error()))
		return true
	}
	r.logger.Info("host list reachable again")
	return false
}

func waitForPause(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
