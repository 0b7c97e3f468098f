package broadcaster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
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
	readers    map[chan []byte]context.CancelFunc
	// known holds the lines of everything known for readers that come together, nil when it must be encoded anew;
	// sent counts what made it so.
	known [][]byte
	sent  int64
}

// New returns a Broadcaster that serves nobody until it is opened; whole gives everything known, and pulse is the time
// between signs of life on a stream.
func New(whole func() []frame.Frame, pulse time.Duration, clock func() time.Time) *Broadcaster {
	return &Broadcaster{whole: whole, pulse: pulse, clock: clock, readers: make(map[chan []byte]context.CancelFunc)}
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
		b.Send(func() (frame.Frame, bool) { return frame.Frame{Lost: lost}, true })
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
//
// The frame is made and encoded once, and only if there is a reader.
func (b *Broadcaster) Send(frameOf func() (f frame.Frame, made bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	b.known = nil
	if len(b.readers) == 0 {
		return
	}
	f, made := frameOf()
	if !made {
		return
	}
	line := lineOf(f)
	for queue, cancel := range b.readers {
		select {
		case queue <- line:
		default:
			cancel()
		}
	}
}

// lineOf returns the line of a frame.
func lineOf(f frame.Frame) []byte {
	line, err := json.Marshal(f)
	if err != nil {
		// Frames hold plain values and texts that were encoded before.
		panic(err)
	}
	return append(line, '\n')
}

// lines returns everything known; readers that come together share it.
func (b *Broadcaster) lines() [][]byte {
	b.mu.Lock()
	known, sent := b.known, b.sent
	b.mu.Unlock()
	if known != nil {
		return known
	}
	for _, f := range b.whole() {
		known = append(known, lineOf(f))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent == sent {
		b.known = known
	}
	return known
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
	control := http.NewResponseController(w)
	write := func(lines ...[]byte) bool {
		now := b.clock()
		if left := b.graceLeft(now).Milliseconds(); left > 0 {
			// A grace counts before what the lines leave out.
			lines = slices.Insert(lines, 0, lineOf(frame.Frame{GraceMS: left}))
		}
		_ = control.SetWriteDeadline(now.Add(writeTimeout))
		return writeAll(w, lines) && control.Flush() == nil
	}
	if write(slices.Clone(b.lines())...) {
		b.pump(ctx, queue, write)
	}
}

// ServeKnown answers once with everything known, also while this host does not hear the store.
func (b *Broadcaster) ServeKnown(w http.ResponseWriter, _ *http.Request) {
	writeAll(w, b.lines())
}

// writeAll reports whether all lines could be written.
func writeAll(w io.Writer, lines [][]byte) bool {
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return false
		}
	}
	return true
}

// pump writes lines as they come and signs of life in between.
func (b *Broadcaster) pump(ctx context.Context, queue <-chan []byte, write func(lines ...[]byte) bool) {
	ticker := time.NewTicker(b.pulse)
	defer ticker.Stop()
	for {
		var line []byte
		select {
		case <-ctx.Done():
			return
		case line = <-queue:
		case <-ticker.C:
			line = lineOf(frame.Frame{Lost: b.isLost()})
		}
		if !write(waiting(line, queue)...) {
			return
		}
	}
}

// waiting returns the line and those that wait behind it.
func waiting(line []byte, queue <-chan []byte) [][]byte {
	lines := [][]byte{line}
	for {
		select {
		case line = <-queue:
			lines = append(lines, line)
		default:
			return lines
		}
	}
}

func (b *Broadcaster) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

func (b *Broadcaster) enter(cancel context.CancelFunc) (chan []byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || b.lost {
		return nil, false
	}
	queue := make(chan []byte, queueLength)
	b.readers[queue] = cancel
	return queue, true
}

func (b *Broadcaster) leave(queue chan []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, queue)
}
