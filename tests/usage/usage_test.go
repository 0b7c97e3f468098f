package usage

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	c := qt.New(t)
	got, err := parse("7 (a b) c) S 1 7 7 0 -1 4194560 1 0 0 0 150 50 0 0 20 0", "900 3 2 1 0 5 0")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, Usage{ProcessorTime: 2 * time.Second, ResidentBytes: 3 * int64(os.Getpagesize())})
	_, err = parse("7 (a) S", "900 3")
	c.Assert(err, qt.ErrorIs, ErrFormat)
	_, err = parse("", "")
	c.Assert(err, qt.ErrorIs, ErrFormat)
}

func TestRead(t *testing.T) {
	got, err := Read(os.Getpid())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.ResidentBytes > 1<<20, qt.IsTrue)
}
