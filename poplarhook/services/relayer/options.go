package relayer

import (
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/snapshot"
)

// Option changes how a Relayer is built.
type Option func(*Relayer)

// OnApply adds a listener that is called with each adopted configuration, one at a time and in ascending order of
// revisions. It must not block.
func OnApply(listener func(snapshot.Snapshot)) Option {
	return func(r *Relayer) { r.listeners = append(r.listeners, listener) }
}

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(r *Relayer) { r.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(r *Relayer) { r.logger = logger }
}

// WithCounter sets the function that counts events by name.
func WithCounter(count func(name string)) Option {
	return func(r *Relayer) { r.count = count }
}

// WithWait sets the longest time that one watch of the index waits in the store for a change.
func WithWait(wait time.Duration) Option {
	return func(r *Relayer) { r.watchWait = wait }
}
