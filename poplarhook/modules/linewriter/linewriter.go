package linewriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity is how many bytes may wait to be written; a reader that stops costs no more memory than that.
	capacity = 256 << 10
	// maxPerSecond bounds the lines of a second, some twenty times what a host of the known deployments logs.
	maxPerSecond = 2000
	// flushInterval is how long lines gather: each write costs a call to the system.
	flushInterval = 100 * time.Millisecond
)

// LineWriter gathers lines and writes them in the background; lines beyond its bounds are dropped and counted.
type LineWriter struct {
	out   io.Writer
	clock func() time.Time

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	second  int64
	lines   int
	dropped uint64
	told    uint64
}

// New returns a LineWriter that writes to out while it runs.
func New(out io.Writer, clock func() time.Time) *LineWriter {
	return &LineWriter{out: out, clock: clock}
}

// Write takes a line or drops it; it never fails and never waits for the reader.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.clock().Unix(); second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	if w.lines > maxPerSecond || len(w.waiting)+len(line) > capacity {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (w *LineWriter) Sync() error {
	return nil
}

// Dropped returns how many lines were dropped.
func (w *LineWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes until the context ends and what waits then is written; the channel gives the end.
func (w *LineWriter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
			w.flush()
		}
		w.flush()
		done <- nil
	}()
	return done
}

// flush writes what waits, and how many lines were dropped since it last told.
func (w *LineWriter) flush() {
	w.mu.Lock()
	lines := w.waiting
	w.waiting, w.spare = w.spare[:0], nil
	if w.dropped > w.told {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", w.dropped-w.told, w.dropped)
		w.told = w.dropped
	}
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
