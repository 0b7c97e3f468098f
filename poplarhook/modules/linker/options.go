package linker

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/wire"
)

// Option configures a Linker.
type Option func(*Linker)

// Limiter enforces the control budget. Allow reports whether that many bytes may be sent now; Charge records bytes that
// were sent without being allowed first.
type Limiter interface {
	Allow(now time.Time, bytes int) bool
	Charge(now time.Time, bytes int)
}

// WithHandler sets the function that is called with each received frame. It runs in the goroutine that reads the
// link, so it must not block.
func WithHandler(handler func(from string, frame *wire.Frame)) Option {
	return func(l *Linker) { l.handler = handler }
}

// WithLinkHook sets the function that is called after a link to a host is made and after it is lost. Each call returns
// before a later frame of the host is handled.
func WithLinkHook(hook func(hostID string, up bool)) Option {
	return func(l *Linker) { l.linkHook = hook }
}

// WithTLS makes every link use mutual TLS with the given configuration.
func WithTLS(config *tls.Config) Option {
	return func(l *Linker) { l.tls = config }
}

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(l *Linker) { l.clock = clock }
}

// WithLimiter sets the limiter that all bytes written to the sockets count against. A frame is queued only if the
// limiter allows it, except for heartbeats and configuration.
func WithLimiter(limiter Limiter) Option {
	return func(l *Linker) { l.limiter = limiter }
}

// WithLogger sets the logger for links that are made, lost or refused.
func WithLogger(logger *zap.Logger) Option {
	return func(l *Linker) { l.logger = logger }
}

// WithSilenceTimeout sets how long a link may receive nothing before it is closed.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(l *Linker) { l.silenceTimeout = timeout }
}

// WithQueueLimit sets how many frames may be queued on one link.
func WithQueueLimit(frames int) Option {
	return func(l *Linker) { l.queueLimit = frames }
}
