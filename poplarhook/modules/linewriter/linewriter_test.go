package linewriter_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/linewriter"
)

// sink keeps what was written, and holds the writer up while it is stopped.
type sink struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.stopped != nil {
		<-s.stopped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesAreWrittenInOrderAndAtTheEnd(t *testing.T) {
	c := qt.New(t)
	out := &sink{}
	w := linewriter.New(out, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(out.String(), qt.Equals, "one\ntwo\n")
}

func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	c := qt.New(t)
	out := &sink{stopped: make(chan struct{})}
	now := time.Unix(0, 0)
	w := linewriter.New(out, func() time.Time { now = now.Add(time.Millisecond); return now })
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 2000 {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	c.Assert(w.Dropped() > 0, qt.IsTrue)
	close(out.stopped)
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(out.String(), qt.Contains, `"msg":"log lines dropped"`)
}

func TestLinesOfASecondAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	w := linewriter.New(&sink{}, func() time.Time { return now })
	for range 3000 {
		_, _ = w.Write([]byte("x\n"))
	}
	c.Assert(w.Dropped(), qt.Equals, uint64(1000))
	now = now.Add(time.Second)
	_, _ = w.Write([]byte("x\n"))
	c.Assert(w.Dropped(), qt.Equals, uint64(1000))
}
