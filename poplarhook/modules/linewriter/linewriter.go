package linewriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is how many bytes may wait to be written. It bounds the memory used if the output blocks.
	maxBufferedBytes = 256 << 10
	// maxLinesPerSecond is about twenty times what a host of the known deployments logs.
	maxLinesPerSecond = 2000
	// flushInterval is how long lines are collected before they are written, because each write costs a system call.
	flushInterval = 100 * time.Millisecond
)

// LineWriter buffers lines and writes them in the background. Lines beyond its limits are dropped and counted.
type LineWriter struct {
	out   io.Writer
	clock func() time.Time

	mu              sync.Mutex
	buffer          []byte
	spareBuffer     []byte
	currentSecond   int64
	linesInSecond   int
	dropped         uint64
	reportedDropped uint64
}

// New returns a LineWriter that writes to out while Run is active.
func New(out io.Writer, clock func() time.Time) *LineWriter {
	return &LineWriter{out: out, clock: clock}
}

// Write buffers a line or drops it. It never fails and never waits for the output.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.clock().Unix(); second != w.currentSecond {
		w.currentSecond, w.linesInSecond = second, 0
	}
	w.linesInSecond++
	if w.linesInSecond > maxLinesPerSecond || len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Sync does nothing, because Run writes the lines.
func (w *LineWriter) Sync() error {
	return nil
}

// Dropped returns how many lines were dropped.
func (w *LineWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes buffered lines until the context ends, then writes the remaining ones and sends nil on the channel.
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

// flush writes the buffered lines, and a line with the number of lines dropped since the last such line.
func (w *LineWriter) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer, w.spareBuffer = w.spareBuffer[:0], nil
	if w.dropped > w.reportedDropped {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", w.dropped-w.reportedDropped, w.dropped)
		w.reportedDropped = w.dropped
	}
	w.mu.Unlock()
	if len(lines) > 0 {
		// An error of the log's own output can't be logged.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spareBuffer = lines
	w.mu.Unlock()
}
