package replayer

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Line is one line of a trace file.
type Line struct {
	// Number counts from 1.
	Number int
	Text   []byte
}

// Decode decodes the JSON of the line into the target and fails the test if it is malformed.
func (l Line) Decode(c *qt.C, into any) {
	c.Helper()
	c.Assert(json.Unmarshal(l.Text, into), qt.IsNil, qt.Commentf("line %d", l.Number))
}

// Run replays each trace in testdata in its own subtest; start returns the function that handles the lines of a trace.
func Run(t *testing.T, start func(c *qt.C) func(Line)) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replay(t, path, start) })
	}
}

func replay(t *testing.T, path string, start func(c *qt.C) func(Line)) {
	t.Helper()
	c := qt.New(t)
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	handle := start(c)
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		handle(Line{Number: n, Text: lines.Bytes()})
	}
	c.Assert(lines.Err(), qt.IsNil)
}
