package comparer_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/comparer"
	"poplarhook.example/poplarbench/reporter"
	"poplarhook.example/poplarbench/result"
)

func TestWrite(t *testing.T) {
	c := qt.New(t)
	before := result.Result{Label: "random", Totals: result.Totals{Sent: 100, Latency: result.Latency{P99MS: 160}}}
	after := result.Result{Label: "owner", Totals: result.Totals{Sent: 100, Latency: result.Latency{P99MS: 40}}}
	after.Unknown = 3
	var file, out bytes.Buffer
	c.Assert(reporter.New(&file).JSON(after), qt.IsNil)
	read, err := comparer.Read(&file)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, after)
	c.Assert(comparer.New(before, read).Write(&out), qt.IsNil)
	lines := strings.Split(out.String(), "\n")
	c.Assert(strings.Fields(lines[0]), qt.DeepEquals, []string{"random", "owner", "change"})
	c.Assert(out.String(), qt.Matches, `(?s).* p99_ms +160.00 +40.00 +-75.0%.*`)
	c.Assert(out.String(), qt.Matches, `(?s).* unknown +0 +3 +new.*`)
}

func TestReadRefuses(t *testing.T) {
	_, err := comparer.Read(strings.NewReader(`{"sent":"many"}`))
	qt.Assert(t, err, qt.ErrorIs, comparer.ErrInvalid)
}
