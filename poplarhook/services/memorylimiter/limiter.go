package memorylimiter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/evictor"
)

// ErrShort means that the request was aborted because memory ran short.
var ErrShort = errors.New("memory for requests is short")

const (
	// releaseWait bounds the wait for the memory of aborted bodies. Their connections are interrupted, so they release it
	// within milliseconds unless the host has no processor time left.
	releaseWait = time.Second
	// logInterval is the shortest time between two log lines about aborted bodies.
	logInterval = time.Second
)

// Limiter limits the memory of bodies and large heads. It is safe for concurrent use.
type Limiter struct {
	clock  func() time.Time
	count  func(event string)
	logger *zap.Logger

	mu         sync.Mutex
	evictor    *evictor.Evictor
	interrupts map[uint64]func()
	// released is closed, and replaced, when memory is released that a reservation may wait for.
	released chan struct{}
	waiting  int
	// loggedAt is the time of the last log line, and unlogged the number of requests aborted since then.
	loggedAt time.Time
	unlogged int
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(l *Limiter) { l.clock = clock }
}

// WithCounter sets the function that counts aborted requests.
func WithCounter(count func(event string)) Option {
	return func(l *Limiter) { l.count = count }
}

// WithLogger sets the logger for aborted requests.
func WithLogger(logger *zap.Logger) Option {
	return func(l *Limiter) { l.logger = logger }
}

// New returns a Limiter of the given number of bytes.
func New(bytes int64, options ...Option) *Limiter {
	l := &Limiter{
		clock:      time.Now,
		count:      func(string) {},
		logger:     zap.NewNop(),
		evictor:    evictor.New(bytes),
		interrupts: make(map[uint64]func()),
		released:   make(chan struct{}),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Used returns how many bytes are reserved.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictor.Used()
}

// Open starts to account for the memory of a request. Interrupt is called if the request is aborted; it must make the
// pending read of the request fail, and not block.
func (l *Limiter) Open(interrupt func()) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.evictor.Open(l.clock())
	l.interrupts[id] = interrupt
	return id
}

// Progress records that bytes of the request have arrived.
func (l *Limiter) Progress(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictor.Progress(id, l.clock())
}

// Reserve reserves memory for a request that is still arriving. It waits a short time for other requests that are
// aborted to release theirs. It fails with ErrShort if this request has to be aborted.
func (l *Limiter) Reserve(ctx context.Context, id uint64, bytes int64) error {
	verdict, released := l.tryReserve(id, bytes)
	if verdict == evictor.Granted {
		return nil
	}
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	for verdict == evictor.Pending {
		select {
		case <-released:
		case <-timer.C:
			l.abort(id)
			return errors.Wrap(ErrShort, "aborted requests did not release their memory in time")
		case <-ctx.Done():
			l.abort(id)
			return errors.Wrap(ErrShort, "request ended while it waited for memory")
		}
		verdict, released = l.tryReserve(id, bytes)
	}
	if verdict != evictor.Granted {
		return ErrShort
	}
	return nil
}

// tryReserve makes one attempt to reserve memory. If it is pending, the channel is closed at the next release.
func (l *Limiter) tryReserve(id uint64, bytes int64) (evictor.Verdict, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, victims := l.evictor.Reserve(id, bytes, l.clock())
	for _, victim := range victims {
		l.interrupts[victim]()
		l.report()
	}
	switch verdict {
	case evictor.Refused:
		l.report()
	case evictor.Pending:
		l.waiting++
		return verdict, l.released
	case evictor.Granted, evictor.Aborted:
	}
	return verdict, nil
}

// abort aborts a request that gave up waiting, so that its incomplete body cannot be bound.
func (l *Limiter) abort(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictor.Abort(id)
	l.report()
}

// report counts an aborted request and logs at most one line per logInterval. It needs the lock.
func (l *Limiter) report() {
	l.count("memory_aborted")
	l.unlogged++
	now := l.clock()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.logger.Warn("memory for requests is short", zap.Int("aborted", l.unlogged), zap.Int64("bytes", l.evictor.Used()))
	l.loggedAt, l.unlogged = now, 0
}

// Bind keeps the memory of a complete request until it is closed. It fails with ErrShort if the request has been aborted
// before.
func (l *Limiter) Bind(id uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.evictor.Bind(id) {
		return ErrShort
	}
	return nil
}

// Close releases the memory of the request.
func (l *Limiter) Close(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictor.Close(id)
	delete(l.interrupts, id)
	if l.waiting > 0 {
		close(l.released)
		l.released, l.waiting = make(chan struct{}), 0
	}
}
