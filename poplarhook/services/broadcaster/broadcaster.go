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
	// queueLength is the number of frames that may wait for a slow reader before its stream is closed.
	queueLength = 256
	// writeTimeout limits the time of one write to a reader.
	writeTimeout = 2 * time.Second
)

// Broadcaster streams frames to other hosts while this host receives updates from the store, directly or through
// another host.
type Broadcaster struct {
	// fullView returns the frames of all views that this host has.
	fullView func() []frame.Frame
	clock    func() time.Time

	mu             sync.Mutex
	acceptsReaders bool
	// lostSent is true after the readers were notified that this host no longer receives updates from the store.
	lostSent bool
	// graceUntil is the end of the grace period in which expired entries may be listed again.
	graceUntil time.Time
	readers    map[chan []byte]reader
	// fullViewLines is the encoded full view, shared by readers that connect between two updates; it is nil after an
	// update until a reader needs it. sendCount counts the calls of Send, which make it outdated.
	fullViewLines [][]byte
	sendCount     int64
	// readConfirmation returns the time since this machine was started and the confirmation of this host's configuration;
	// nil unless heartbeats carry both.
	readConfirmation func() (clock, confirmed time.Duration)
	// hops is the number of hosts between this host and the store, as of the latest heartbeat.
	hops int
}

// New returns a Broadcaster that accepts no readers until SetServing is called; fullView returns the frames of all
// views.
func New(fullView func() []frame.Frame, clock func() time.Time, options ...Option) *Broadcaster {
	b := &Broadcaster{fullView: fullView, clock: clock, readers: make(map[chan []byte]reader)}
	for _, option := range options {
		option(b)
	}
	return b
}

// reader is an open stream.
type reader struct {
	cancel context.CancelFunc
	// understandsDifferences is true if the reader's request has DifferencesParameter. Readers of older releases do not
	// have it: they take a frame with a difference for a broken one.
	understandsDifferences bool
}

// DifferencesParameter is the query parameter by which a reader states that it understands frames with differences and
// with compressed changes.
const DifferencesParameter = "differences"

// Option changes how a Broadcaster is built.
type Option func(*Broadcaster)

// WithConfirmations makes heartbeats carry the time since this machine was started and the time at which this host's
// configuration was last known to be current. That configuration must have been sent before.
func WithConfirmations(read func() (clock, confirmed time.Duration)) Option {
	return func(b *Broadcaster) { b.readConfirmation = read }
}

// SetServing sets whether new readers are accepted; streams that are already open continue. Accepting readers also lets
// SendLost notify them again.
func (b *Broadcaster) SetServing(serving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acceptsReaders = serving
	if serving {
		b.lostSent = false
	}
}

// SendLost notifies the readers once that this host receives no updates from the store, unless it accepts new readers.
func (b *Broadcaster) SendLost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.acceptsReaders && !b.lostSent {
		b.lostSent = true
		b.enqueue(encodeLine(frame.Frame{StoreLost: true}))
	}
}

// SendHeartbeat sends a heartbeat to the readers; hops is the number of hosts between this host and the store.
func (b *Broadcaster) SendHeartbeat(hops int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hops = hops
	b.enqueue(b.heartbeatLine())
}

// heartbeatLine returns an encoded heartbeat; the caller holds the lock.
func (b *Broadcaster) heartbeatLine() []byte {
	heartbeat := frame.Frame{Hops: b.hops, AtMS: b.clock().UnixMilli()}
	if b.readConfirmation != nil {
		heartbeat = heartbeat.WithConfirmation(b.readConfirmation())
	}
	return encodeLine(heartbeat)
}

// withHeartbeats returns the full view with a heartbeat that was encoded before it at its start. Where heartbeats carry
// confirmations it is also at the end: only there it confirms the views.
func (b *Broadcaster) withHeartbeats(heartbeat []byte) [][]byte {
	lines := slices.Insert(slices.Clone(b.encodeFullView()), 0, heartbeat)
	if b.readConfirmation != nil {
		lines = append(lines, heartbeat)
	}
	return lines
}

// Close ends all streams and accepts no new readers.
func (b *Broadcaster) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acceptsReaders = false
	for _, r := range b.readers {
		r.cancel()
	}
}

// SetGraceEnd sets the end of the grace period, which is sent to readers: until then entries that expired while the
// store was unavailable may be listed again.
func (b *Broadcaster) SetGraceEnd(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.graceUntil = until
}

// graceLeft returns the rest of the grace period, zero if there is none.
func (b *Broadcaster) graceLeft(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.graceUntil.Sub(now), 0)
}

// Send queues a frame for every reader and closes the streams of readers whose queue is full.
//
// The frame is built and encoded once for the readers that understand differences and once for the others, and only if
// there are such readers.
func (b *Broadcaster) Send(build func(understandsDifferences bool) (f frame.Frame, ok bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sendCount++
	b.fullViewLines = nil
	lines := make(map[bool][]byte)
	for queue, r := range b.readers {
		line, built := lines[r.understandsDifferences]
		if !built {
			if f, ok := build(r.understandsDifferences); ok {
				line = encodeLine(f)
			}
			lines[r.understandsDifferences] = line
		}
		if line != nil {
			r.enqueue(queue, line)
		}
	}
}

// enqueue queues a line for every reader and closes the streams of readers whose queue is full; the caller holds the
// lock.
func (b *Broadcaster) enqueue(line []byte) {
	for queue, r := range b.readers {
		r.enqueue(queue, line)
	}
}

// enqueue queues a line for the reader and closes its stream if the queue is full.
func (r reader) enqueue(queue chan<- []byte, line []byte) {
	select {
	case queue <- line:
	default:
		r.cancel()
	}
}

// encodeLine encodes a frame as one line of JSON.
func encodeLine(f frame.Frame) []byte {
	line, err := json.Marshal(f)
	if err != nil {
		// Encoding cannot fail: frames hold plain values and JSON that was encoded before.
		panic(err)
	}
	return append(line, '\n')
}

// encodeFullView returns the encoded full view, which readers share until the next update.
func (b *Broadcaster) encodeFullView() [][]byte {
	b.mu.Lock()
	lines, sendCount := b.fullViewLines, b.sendCount
	b.mu.Unlock()
	if lines != nil {
		return lines
	}
	for _, f := range b.fullView() {
		lines = append(lines, encodeLine(f))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sendCount == sendCount {
		b.fullViewLines = lines
	}
	return lines
}

// Readers returns the number of open streams.
func (b *Broadcaster) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// ServeHTTP streams frames until the reader disconnects, and answers 503 while no new readers are accepted.
func (b *Broadcaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	queue, heartbeat, ok := b.addReader(reader{cancel: cancel, understandsDifferences: r.URL.Query().Has(DifferencesParameter)})
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.removeReader(queue)
	control := http.NewResponseController(w)
	write := func(lines ...[]byte) bool {
		now := b.clock()
		if left := b.graceLeft(now).Milliseconds(); left > 0 {
			// The grace period is sent first, since it applies to entries that are missing in the lines after it.
			lines = slices.Insert(lines, 0, encodeLine(frame.Frame{GraceMS: left}))
		}
		_ = control.SetWriteDeadline(now.Add(writeTimeout))
		return writeLines(w, lines) && control.Flush() == nil
	}
	if write(b.withHeartbeats(heartbeat)...) {
		writeQueued(ctx, queue, write)
	}
}

// ServeFullView answers with the full view once and ends, also while this host receives no updates from the store.
func (b *Broadcaster) ServeFullView(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	heartbeat := b.heartbeatLine()
	b.mu.Unlock()
	writeLines(w, b.withHeartbeats(heartbeat))
}

// writeLines writes the lines and reports whether all of them were written.
func writeLines(w io.Writer, lines [][]byte) bool {
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return false
		}
	}
	return true
}

// writeQueued writes queued lines until the context ends or a write fails.
func writeQueued(ctx context.Context, queue <-chan []byte, write func(lines ...[]byte) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-queue:
			if !write(dequeueAll(line, queue)...) {
				return
			}
		}
	}
}

// dequeueAll returns the line, followed by all lines that are in the queue now.
func dequeueAll(line []byte, queue <-chan []byte) [][]byte {
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

// addReader adds a reader and returns its queue and a heartbeat as its first line; ok is false while no new readers are
// accepted.
func (b *Broadcaster) addReader(r reader) (queue chan []byte, heartbeat []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.acceptsReaders {
		return nil, nil, false
	}
	queue = make(chan []byte, queueLength)
	b.readers[queue] = r
	return queue, b.heartbeatLine(), true
}

func (b *Broadcaster) removeReader(queue chan []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readers, queue)
}
