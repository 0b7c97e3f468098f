package linker

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/wire"
)

// Option changes how a Linker is built.
type Option func(*Linker)

// Limiter decides whether a number of control bytes may be sent now, and learns of those that are sent in any case.
type Limiter interface {
	Allow(now time.Time, bytes int) bool
	Charge(now time.Time, bytes int)
}

// WithHandler sets the function that receives each frame; it runs on the link's reader, so it must not block.
func WithHandler(handler func(from string, frame *wire.Frame)) Option {
	return func(l *Linker) { l.handler = handler }
}

// WithLinkHook sets what is called after a link to a host is made and after it is lost, each before a later frame of the host is handled.
func WithLinkHook(hook func(hostID string, up bool)) Option {
	return func(l *Linker) { l.hook = hook }
}

// WithTLS makes every link use mutual TLS with the given settings.
func WithTLS(config *tls.Config) Option {
	return func(l *Linker) { l.tls = config }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(l *Linker) { l.clock = clock }
}

// WithLimiter sets the budget of all bytes at the sockets; it is asked for each frame but heartbeats and configuration.
func WithLimiter(limiter Limiter) Option {
	return func(l *Linker) { l.limiter = limiter }
}

// WithLogger sets where changes of links are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(l *Linker) { l.logger = logger }
}

// WithSilence sets how long a link may stay silent before it is replaced.
func WithSilence(silence time.Duration) Option {
	return func(l *Linker) { l.silence = silence }
}

// WithQueueLimit sets how many frames may wait on one link.
func WithQueueLimit(frames int) Option {
	return func(l *Linker) { l.queueLimit = frames }
}
