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

// Broadcaster serves streams of frames while this host hears the store, itself or through another host.
type Broadcaster struct {
	// whole returns frames that hold everything known.
	whole func() []frame.Frame
	clock func() time.Time

	mu      sync.Mutex
	serving bool
	// toldLost says that the readers know that this host no longer hears the store.
	toldLost bool
	// graceUntil is until when lapsed entries may come back.
	graceUntil time.Time
	readers    map[chan []byte]context.CancelFunc
	// known holds the lines of everything known for readers that come together, nil when it must be encoded anew;
	// sent counts what made it so.
	known [][]byte
	sent  int64
	// hops is through how many hosts the store is heard.
	hops int
}

// New returns a Broadcaster that serves nobody until it is told to; whole gives everything known.
func New(whole func() []frame.Frame, clock func() time.Time) *Broadcaster {
	return &Broadcaster{whole: whole, clock: clock, readers: make(map[chan []byte]context.CancelFunc)}
}

// SetServing sets whether new readers are taken; those that read already stay.
func (b *Broadcaster) SetServing(serving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serving = serving
	if serving {
		b.toldLost = false
	}
}

// TellLost tells readers that this host cannot hear the store, unless it serves.
func (b *Broadcaster) TellLost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serving && !b.toldLost {
		b.toldLost = true
		b.push(lineOf(frame.Frame{Lost: true}))
	}
}

// Pulse tells readers that the store is heard through as many hosts as given before this one's readers.
func (b *Broadcaster) Pulse(hops int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hops = hops
	b.push(b.pulseLine())
}

// pulseLine returns a sign of life; the lock is held.
func (b *Broadcaster) pulseLine() []byte {
	return lineOf(frame.Frame{Hops: b.hops, AtMS: b.clock().UnixMilli()})
}

// Close ends all streams for good.
func (b *Broadcaster) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serving = false
	for _, cancel := range b.readers {
		cancel()
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
	b.push(lineOf(f))
}

// push hands a line to every reader; the lock is held.
func (b *Broadcaster) push(line []byte) {
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

// ServeHTTP streams frames until the reader leaves, or refuses with 503 while this host does not serve.
func (b *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	queue, pulse, ok := b.enter(cancel)
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
	if write(slices.Insert(slices.Clone(b.lines()), 0, pulse)...) {
		pump(ctx, queue, write)
	}
}

// ServeKnown answers once with everything known, also while this host does not hear the store.
func (b *Broadcaster) ServeKnown(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	pulse := b.pulseLine()
	b.mu.Unlock()
	writeAll(w, slices.Insert(slices.Clone(b.lines()), 0, pulse))
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

// pump writes lines as they come.
func pump(ctx context.Context, queue <-chan []byte, write func(lines ...[]byte) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-queue:
			if !write(waiting(line, queue)...) {
				return
			}
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

// enter adds a reader, and returns its queue, its first line, and whether it may read.
func (b *Broadcaster) enter(cancel context.CancelFunc) (queue chan []byte, pulse []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serving {
		return nil, nil, false
	}
	queue = make(chan []byte, queueLength)
	b.readers[queue] = cancel
	return queue, b.pulseLine(), true
}

func (b *Broadcaster) leave(queue chan []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, queue)
}
