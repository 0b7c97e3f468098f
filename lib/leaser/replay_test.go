package leaser_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

// traceLine is one line of a trace: an event for a leaser, or a call and the result it must return.
type traceLine struct {
	AtMS     int64  `json:"at_ms"`
	Event    string `json:"event"`
	Wanted   bool   `json:"wanted"`
	Kind     string `json:"kind"`
	WaitMS   int64  `json:"wait_ms"`
	Epoch    int64  `json:"epoch"`
	Nonce    string `json:"nonce"`
	Released bool   `json:"released"`
	// DeadlineMS is the max_deadline_ms that a released lease must keep for work that was sent before the release.
	DeadlineMS int64        `json:"deadline_ms"`
	IfVer      int64        `json:"if_version"`
	SentAtMS   int64        `json:"sent_at_ms"`
	Version    int64        `json:"version"`
	Error      string       `json:"error"`
	Lease      *lease.Lease `json:"lease"`
}

var traceErrors = map[string]error{
	"":                nil,
	"not_found":       storer.ErrNotFound,
	"conflict":        storer.ErrConflict,
	"unavailable":     storer.ErrUnavailable,
	"unknown_outcome": storer.ErrUnknownOutcome,
}

func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	qt.New(t).Assert(err, qt.IsNil)
	qt.New(t).Assert(len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replayTrace(qt.New(t), path) })
	}
}

func replayTrace(c *qt.C, path string) {
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	nonces := 0
	l := leaser.New("host-a", ttl, maxDeadline, leaser.WithNonces(func() string {
		nonces++
		return fmt.Sprintf("n%d", nonces)
	}))
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		var line traceLine
		c.Assert(json.Unmarshal(lines.Bytes(), &line), qt.IsNil)
		applyLine(c, l, line, qt.Commentf("line %d: %s", number, lines.Text()))
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func applyLine(c *qt.C, l *leaser.Leaser, line traceLine, comment qt.Comment) {
	now := atMS(line.AtMS)
	failure, known := traceErrors[line.Error]
	c.Assert(known, qt.IsTrue, comment)
	switch line.Event {
	case "want":
		l.SetWanted(line.Wanted)
	case "next":
		checkNext(c, l, line, comment)
	case "on_read":
		found := object.Object{Version: line.Version}
		if line.Lease != nil {
			found.Value = line.Lease.Encode()
		}
		l.OnRead(now, found, failure)
	case "on_write":
		l.OnWrite(now, atMS(line.SentAtMS), line.Version, failure)
	case "holds":
		epoch, holds := l.Holds(now)
		c.Assert(epoch, qt.Equals, line.Epoch, comment)
		c.Assert(holds, qt.Equals, line.Epoch != 0, comment)
	default:
		c.Fatalf("unknown event, %v", comment)
	}
}

func checkNext(c *qt.C, l *leaser.Leaser, line traceLine, comment qt.Comment) {
	next := l.Next(atMS(line.AtMS))
	c.Assert(next.Kind, qt.Equals, line.Kind, comment)
	c.Assert(next.Wait, qt.Equals, time.Duration(line.WaitMS)*time.Millisecond, comment)
	c.Assert(next.IfVersion, qt.Equals, line.IfVer, comment)
	if line.Nonce == "" {
		return
	}
	written, err := lease.Parse(next.Value)
	c.Assert(err, qt.IsNil, comment)
	want := lease.Lease{Holder: "host-a", Epoch: line.Epoch, Nonce: line.Nonce, TTLMS: ttl.Milliseconds(), MaxDeadlineMS: maxDeadline.Milliseconds()}
	if line.Released {
		want.Holder, want.TTLMS, want.MaxDeadlineMS = "", 0, line.DeadlineMS
	}
	c.Assert(written, qt.Equals, want, comment)
}

func atMS(ms int64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
}
