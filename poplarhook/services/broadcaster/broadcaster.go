package broadcaster

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"poplarhook.example/poplarhook/models/frame"
)

const (
	// queueLength is how many frames a slow reader may fall behind.
	queueLength = 256
	// writeTimeout bounds one write to a reader.
	writeTimeout = 2 * time.Second
)

// Broadcaster serves streams of frames while this host hears the store itself.
type Broadcaster struct {
	// whole returns frames that hold everything known.
	whole func() []frame.Frame
	pulse time.Duration
	clock func() time.Time

	mu   sync.Mutex
	open bool
	lost bool
	// graceUntil is until when lapsed entries may come back.
	graceUntil time.Time
	readers    map[chan frame.Frame]context.CancelFunc
}

// New returns a Broadcaster that serves nobody until it is opened; whole gives everything known, and pulse is the time
// between signs of life on a stream.
func New(whole func() []frame.Frame, pulse time.Duration, clock func() time.Time) *Broadcaster {
	return &Broadcaster{whole: whole, pulse: pulse, clock: clock, readers: make(map[chan frame.Frame]context.CancelFunc)}
}

// SetOpen starts to serve, or ends all streams.
func (b *Broadcaster) SetOpen(open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = open
	if open {
		return
	}
	for _, cancel := range b.readers {
		cancel()
	}
}

// SetLost tells readers whether this host hears the store.
func (b *Broadcaster) SetLost(lost bool) {
	b.mu.Lock()
	changed := b.lost != lost
	b.lost = lost
	b.mu.Unlock()
	if changed {
		b.Send(frame.Frame{Lost: lost})
	}
}

// SetGrace tells readers until when entries that lapsed while the store was away may come back.
func (b *Broadcaster) SetGrace(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.graceUntil = until
}

// graceLeft returns how much of the grace is left, zero without one.
func (b *Broadcaster) graceLeft(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.graceUntil.Sub(now), 0)
}

// Send hands the frame to every reader; one that has fallen behind too far is cut off.
func (b *Broadcaster) Send(f frame.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for queue, cancel := range b.readers {
		select {
		case queue <- f:
		default:
			cancel()
		}
	}
}

// Readers returns how many streams are open.
func (b *Broadcaster) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// ServeHTTP streams frames until the reader leaves, or refuses with 503 while this host does not hear the store.
func (b *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	queue, ok := b.enter(cancel)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave(queue)
	writer := json.NewEncoder(w)
	control := http.NewResponseController(w)
	write := func(f frame.Frame) bool {
		now := b.clock()
		f.GraceMS = b.graceLeft(now).Milliseconds()
		_ = control.SetWriteDeadline(now.Add(writeTimeout))
		return writer.Encode(f) == nil && control.Flush() == nil
	}
	for _, f := range b.whole() {
		if !write(f) {
			return
		}
	}
	b.pump(ctx, queue, write)
}

// ServeKnown answers once with everything known, also while this host does not hear the store.
func (b *Broadcaster) ServeKnown(w http.ResponseWriter, _ *http.Request) {
	writer := json.NewEncoder(w)
	for _, f := range b.whole() {
		if writer.Encode(f) != nil {
			return
		}
	}
}

// pump writes frames as they come and signs of life in between.
func (b *Broadcaster) pump(ctx context.Context, queue <-chan frame.Frame, write func(f frame.Frame) bool) {
	ticker := time.NewTicker(b.pulse)
	defer ticker.Stop()
	for {
		var f frame.Frame
		select {
		case <-ctx.Done():
			return
		case f = <-queue:
		case <-ticker.C:
			f.Lost = b.isLost()
		}
		if !write(f) {
			return
		}
	}
}

func (b *Broadcaster) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

func (b *Broadcaster) enter(cancel context.CancelFunc) (chan frame.Frame, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || b.lost {
		return nil, false
	}
	queue := make(chan frame.Frame, queueLength)
	b.readers[queue] = cancel
	return queue, true
}

func (b *Broadcaster) leave(queue chan frame.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, queue)
}
