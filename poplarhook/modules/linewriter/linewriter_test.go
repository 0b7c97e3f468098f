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

// sink records what is written to it. If unblock is set, writes block until that channel is closed.
type sink struct {
	mu      sync.Mutex
	text    bytes.Buffer
	unblock chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
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

func TestLinesAreWrittenInOrderAndBeforeRunEnds(t *testing.T) {
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

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	c := qt.New(t)
	out := &sink{unblock: make(chan struct{})}
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
	close(out.unblock)
	cancel()
	c.Assert(<-done, qt.IsNil)
	c.Assert(out.String(), qt.Contains, `"msg":"log lines dropped"`)
}

func TestLinesPerSecondAreLimited(t *testing.T) {
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
