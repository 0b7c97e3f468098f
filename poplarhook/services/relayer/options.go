package relayer

import (
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/snapshot"
)

// Option changes how a Relayer is built.
type Option func(*Relayer)

// OnApply adds a function that is called with each configuration adopted, one at a time and in
// the order of their revisions; it must not block.
func OnApply(listener func(snapshot.Snapshot)) Option {
	return func(r *Relayer) { r.listeners = append(r.listeners, listener) }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(r *Relayer) { r.clock = clock }
}

// WithLogger sets where changes of the relay's part are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(r *Relayer) { r.logger = logger }
}

// WithCounter sets what counts events by name.
func WithCounter(count func(name string)) Option {
	return func(r *Relayer) { r.count = count }
}

// WithWait sets how long one watch of the index may wait in the store.
func WithWait(wait time.Duration) Option {
	return func(r *Relayer) { r.wait = wait }
}
